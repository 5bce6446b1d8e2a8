package daemon

import (
	"context"
	"os"
	"time"

	"samphirepoint/sleep"
)

// watchFile polls a file and signals each change of its modification time or size, for example when it is replaced. A file that
// is temporarily missing doesn't count as a change.
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
