// Package jsonhttp makes HTTP requests with JSON bodies within a budget, for the clients
// of the key-value store and the cloud.
package jsonhttp
