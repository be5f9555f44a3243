package attributor_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAttributor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attributor")
}
