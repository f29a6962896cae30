"""samphirepostd, and the entry daemon in the package `entry`."""
