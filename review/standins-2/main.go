// Command scenario plays one case of the review with the project's own entry program and with stand-ins for the
// platform's store, the routers, the consumers and the servers.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenarios returns true if the rule held.
var scenarios = map[string]func(w *world) bool{}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 {
		fmt.Println("usage: scenario NAME REPOSITORY RECORD")
		return 2
	}
	play := scenarios[os.Args[1]]
	root, err := filepath.Abs(os.Args[2])
	if play == nil || err != nil {
		fmt.Println("no such scenario")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &record{w: file, start: time.Now()}
	var w *world
	defer func() {
		if x := recover(); x != nil {
			b, ok := x.(broken)
			if !ok {
				w.end()
				panic(x)
			}
			rec.printf("the case cannot run: %s", b.cause)
			fmt.Println("cannot run:", b.cause)
			code = 2
		}
		if w != nil {
			w.end()
		}
	}()
	w = newWorld(rec, root, os.Getenv("TROUBLE") != "0", 500)
	time.AfterFunc(115*time.Second, func() {
		rec.printf("the case takes too long")
		w.end()
		os.Exit(2)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.end()
		os.Exit(2)
	}()
	held := play(w)
	verdict := "the rule held"
	if !held {
		verdict, code = "the rule was broken", 1
	}
	rec.printf("%s", verdict)
	_, _ = fmt.Fprintln(io.MultiWriter(os.Stdout), verdict)
	return code
}
