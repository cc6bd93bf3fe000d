package standin

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// runTimeout bounds a script, and endDelay is the time given to its processes to end after
	// that.
	runTimeout = 100 * time.Second
	endDelay   = 500 * time.Millisecond
)

// Script plays a case and returns what broke the rule, nothing if it held. trouble is false if
// the disruption is to be left out.
type Script func(ctx context.Context, program string, record *Record, trouble bool) (broken []string, err error)

// Main runs a script in the folder of its case and returns the exit code. It takes the folder and the node
// program from the environment: REVIEW_FOLDER and PATHTALLY.
func Main(script Script) int {
	folder, program := os.Getenv("REVIEW_FOLDER"), os.Getenv("PATHTALLY")
	if folder == "" || program == "" {
		fmt.Fprintln(os.Stderr, "start run.sh")
		return exitNotRun
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Add("disruption: %v", trouble)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := script(ctx, program, record, trouble)
		results <- result{broken, err}
	}()
	select {
	case played := <-results:
		return report(record, played.broken, played.err)
	case <-ctx.Done():
		// The processes end with the context.
		time.Sleep(endDelay)
		return report(record, nil, fmt.Errorf("stopped: %w", ctx.Err()))
	}
}

func report(record *Record, broken []string, err error) int {
	if err != nil {
		record.Add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, line := range broken {
		record.Add("BROKEN %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.Add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
