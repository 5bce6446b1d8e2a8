package sleep

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against loops that keep waiting after their context has ended, and against waits of zero length that don't report it.
func TestContextInterruptsWait(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Context(t.Context(), time.Millisecond)).To(Succeed())
	g.Expect(Context(t.Context(), 0)).To(Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(Context(ctx, time.Hour)).To(MatchError(context.Canceled))
	g.Expect(Context(ctx, 0)).To(MatchError(context.Canceled))
}
