package resumer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResumer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resumer")
}
