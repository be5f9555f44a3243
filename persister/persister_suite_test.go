package persister_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPersister(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "persister")
}
