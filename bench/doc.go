// Package bench holds the programs that measure the system; see the Makefile.
package bench
