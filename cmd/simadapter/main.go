// Command simadapter runs router instances for the simulator: it reads one batch per line from standard input and
// writes one reply per line to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"lotushook/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each line until the end of the input.
func run(in io.Reader, out io.Writer) error {
	const bufferBytes = 1 << 20
	reader := bufio.NewReaderSize(in, bufferBytes)
	host := simwire.NewHost()
	var line, reply []byte
	for {
		line = line[:0]
		for {
			chunk, err := reader.ReadSlice('\n')
			line = append(line, chunk...)
			if err == nil {
				break
			}
			if errors.Is(err, io.EOF) {
				if len(line) > 0 {
					return errors.New("input ends inside a line")
				}
				return nil
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return fmt.Errorf("read: %w", err)
			}
		}
		var err error
		if reply, err = host.HandleLine(line, reply[:0]); err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}
