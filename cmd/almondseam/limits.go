package main

import "syscall"

// descriptorLimit returns how many descriptors the process may have open: the given number, if there is one, but no
// more than the kernel allows. It returns zero if neither is known.
func descriptorLimit(set int) int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return set
	}
	if allowed := int(min(l.Cur, 1<<30)); set == 0 || allowed < set {
		return allowed
	}
	return set
}
