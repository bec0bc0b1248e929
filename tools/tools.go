// Package tools holds the versions of the linters that CI runs; it has no code.
package tools
