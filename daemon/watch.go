package daemon

import (
	"context"
	"os"
	"time"

	"samphirepoint/sleep"
)

// watchFile signals each change of a file's time or size, as one that was replaced while the process runs. A file that is missing
// for a while doesn't count as a change.
func watchFile(ctx context.Context, path string, every time.Duration, changed chan<- struct{}) error {
	last, _ := os.Stat(path)
	for sleep.Context(ctx, every) == nil {
		now, err := os.Stat(path)
		if err != nil {
			continue
		}
		if last != nil && (!now.ModTime().Equal(last.ModTime()) || now.Size() != last.Size()) {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
		last = now
	}
	return nil
}
