// Command standin has the stand-ins of the review's scripts: workers that speak the users' pages
// (one process each), and a driver that is the platform's store, the balancer, the clients and
// the platform that starts and stops processes.
//
// Usage:
//
//	standin worker FLAGS       a worker; see worker.go
//	standin drive CASE FLAGS   a case; it exits with 1 if the rule was broken, 0 if it held, and 2
//	                           if the case could not run
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin worker|drive ...")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "worker":
		runWorker(os.Args[2:])
	case "drive":
		os.Exit(drive(os.Args[2], os.Args[3:]))
	default:
		os.Exit(2)
	}
}
