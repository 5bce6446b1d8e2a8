package daemon

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a settings file being replaced without a signal and the change never being noticed.
func TestChangedFileIsNoticed(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	path := filepath.Join(t.TempDir(), "node.yaml")
	g.Expect(os.WriteFile(path, []byte("a"), 0o600)).To(Succeed())
	changed, ended := make(chan struct{}, 1), make(chan error, 1)
	go func() { ended <- watchFile(ctx, path, time.Millisecond, changed) }()
	g.Consistently(changed, "20ms").ShouldNot(Receive())
	g.Expect(os.WriteFile(path, []byte("changed"), 0o600)).To(Succeed())
	g.Eventually(changed, "5s").Should(Receive())
	cancel()
	g.Eventually(ended, "5s").Should(Receive(BeNil()))
}
