// Command cicadawood is a router for language-model traffic with service levels
// and priorities.
package main

import (
	"os"

	"github.com/cicadawood/cicadawood/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
