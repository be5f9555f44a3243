// Package checker tells whole answers from broken ones, for every client that reads answers of backend servers
// or of the platform.
package checker
