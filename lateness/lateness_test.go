package lateness

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against a process that takes its own delay for a failure of the other side: a delay counts while it lasts and for a
// second after it.
func TestDelayCountsWhileItLastsAndForASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := NewMonitor(zerolog.Nop())
		g.Expect(m.Late()).To(BeFalse(), "nothing is known before the first sample")
		m.record(time.Now(), 2*time.Millisecond)
		g.Expect(m.Late()).To(BeFalse())
		time.Sleep(300 * time.Millisecond)
		g.Expect(m.Late()).To(BeTrue(), "the next sample is overdue")
		m.record(time.Now(), 280*time.Millisecond)
		for range 45 {
			time.Sleep(sampleInterval)
			m.record(time.Now(), 0)
		}
		g.Expect(m.Worst()).To(Equal(280 * time.Millisecond))
		for range 10 {
			time.Sleep(sampleInterval)
			m.record(time.Now(), 0)
		}
		g.Expect(m.Late()).To(BeFalse())
	})
}

// Guards against a monitor that reports a process as late although its timers fire when they are due.
func TestTimelyProcessIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := NewMonitor(zerolog.Nop())
		go func() { _ = m.Run(t.Context()) }()
		time.Sleep(3 * time.Second)
		g.Expect(m.Late()).To(BeFalse())
	})
}
