// Command gypsumpitch is the operators' command line.
package main

import (
	"os"

	"gypsumpitch.example/gypsumpitch/internal/program/client"
)

func main() { os.Exit(client.Main(os.Args[1:], os.Stdout, os.Stderr)) }
