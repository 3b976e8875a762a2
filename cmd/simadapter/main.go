// Command simadapter hosts router instances on the simulator's wire: one
// batch a line on standard input, one reply a line on standard output.
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

// run answers lines until the input ends.
func run(in io.Reader, out io.Writer) error {
	const buffer = 1 << 20
	r := bufio.NewReaderSize(in, buffer)
	host := simwire.NewHost()
	var line, reply []byte
	for {
		line = line[:0]
		for {
			part, err := r.ReadSlice('\n')
			line = append(line, part...)
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
