// Package jsonhttp sends HTTP requests with JSON bodies within a rate limit (the budget). The
// clients of the key-value store and the cloud use it.
package jsonhttp
