package main

// Importing C links the program against the C library, as the users' platform
// requires; an external linker flag alone does not. The blank line below keeps this
// comment out of the cgo preamble.

import "C"
