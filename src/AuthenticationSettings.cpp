#include <gflags/gflags.h>

// The daemon uses this flag, and so does the operators' command-line tool, which calls daemons.
DEFINE_string(authentication_key, "", "key that signs requests between the system's processes, 16 characters or more; empty: they are not checked");
