package main

import (
	"os"

	"github.com/stoatpaddle/stoatpaddle/stoatprocess"
)

func main() {
	os.Exit(stoatprocess.Main(os.Args[1:], os.Stdout, os.Stderr))
}
