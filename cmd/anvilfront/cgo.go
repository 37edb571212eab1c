package main

// The users' platform runs programs that are linked against the C library,
// which an external linker flag alone does not cause. The blank line below
// keeps this text out of the C preamble.

import "C"
