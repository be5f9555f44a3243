// Package checker detects broken answers, for every client that reads answers of backend servers
// or of the platform.
package checker
