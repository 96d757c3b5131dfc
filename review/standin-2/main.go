// Command standin2 plays the cases of review/6 to review/10: it starts the project's program
// as separate processes and stands in for the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// setup is what each case gets.
type setup struct {
	rec     *record
	program string
	// folder holds settings and logs of the processes of this run.
	folder string
	// trouble is false if the case runs without its disruption.
	trouble bool
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "serve" {
		serveStreams(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 {
		fmt.Println("usage: standin2 CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(setup){
		"lease":   playLease,
		"path":    playPath,
		"tenants": playTenants,
		"ends":    playEnds,
	}
	play, ok := cases[os.Args[1]]
	program, err := filepath.Abs(os.Args[2])
	if !ok || err != nil {
		fmt.Println("no such case")
		os.Exit(exitNotRun)
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Println("the program is not built")
		os.Exit(exitNotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	s := setup{rec: newRecord(filepath.Join(os.Args[3], "record.txt")), program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	s.rec.line("case %s, with its disruption: %t", os.Args[1], s.trouble)
	play(s)
	cannotRun("the case has not ended")
}

// endAll makes the cleanup end the gateways and remove the folder, unless KEEP is set.
func (s setup) endAll(all []*gateway) {
	cleanup = func() {
		for _, g := range all {
			g.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.folder)
		}
	}
}
