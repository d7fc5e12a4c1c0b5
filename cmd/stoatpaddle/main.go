package main

import (
	"os"

	"github.com/stoatpaddle/stoatpaddle/stoatcommand"
)

func main() {
	os.Exit(stoatcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
