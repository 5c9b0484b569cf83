#include <gflags/gflags.h>

// Of the daemon and of the operators' command line, which calls daemons.
DEFINE_string(authentication_key, "", "key that signs requests between the system's processes, 16 characters or more; empty: they are not checked");
