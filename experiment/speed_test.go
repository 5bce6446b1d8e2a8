package experiment

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkPath measures the time and the allocations of a request on each path, with several numbers of parallel
// connections. Run it with -benchtime 3s -cpu 4.
func BenchmarkPath(b *testing.B) {
	s, err := newSpeedTestbed(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	defer s.close()
	for _, path := range []string{PathDirect, PathOwner, PathForward} {
		for _, connections := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/connections=%d", path, connections), func(b *testing.B) {
				b.ReportAllocs()
				calls := make(chan struct{})
				failed := make(chan error, connections)
				for i := range connections {
					url := s.url(path, i)
					go func() {
						var last error
						for range calls {
							if err := s.sendRequest(url); err != nil {
								last = err
							}
						}
						failed <- last
					}()
				}
				for b.Loop() {
					calls <- struct{}{}
				}
				close(calls)
				for range connections {
					if err := <-failed; err != nil {
						b.Error(err)
					}
				}
			})
		}
	}
}
