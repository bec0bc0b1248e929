// Package contract drives the callers' interface with an ordinary client
// library, in a module of its own so that the product does not depend on it.
package contract
