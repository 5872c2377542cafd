//go:build review

// Command platform plays one case of the review: it starts the project's programs as
// processes on stand-ins of the platform and says whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
)

// play is the script of one case. It returns what broke the rule.
type play func(rec *record, trouble bool) []string

var plays = map[string]play{}

func main() { os.Exit(run()) }

// run plays the case that the first argument names and writes its record into the folder
// that the second one names. It returns 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
func run() (code int) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil || os.Getenv("CASE_TMP") == "" {
		fmt.Fprintln(os.Stderr, "usage: CASE_TMP=DIR review-stand CASE FOLDER")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	defer rec.close()
	defer func() {
		if v := recover(); v != nil {
			rec.say("script", "could not run: %v", v)
			fmt.Println("could not run:", v)
			if _, ok := v.(cannotRun); !ok {
				fmt.Println(string(debug.Stack()))
			}
			code = 2
		}
	}()
	rec.say("script", "case %s, trouble %v", os.Args[1], trouble)
	broken := plays[os.Args[1]](rec, trouble)
	for i, b := range broken {
		if i < 40 {
			rec.say("verdict", "%s", b)
		}
	}
	if len(broken) > 0 {
		rec.say("verdict", "the rule is broken, %d times", len(broken))
		fmt.Printf("broken %d times; the first: %s\n", len(broken), broken[0])
		return 1
	}
	rec.say("verdict", "the rule held")
	fmt.Println("the rule held")
	return 0
}
