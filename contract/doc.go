// Package contract tests the API that callers use with an ordinary OpenAI client library.
// It is a separate module so that the product does not depend on that library.
package contract
