package leader

import (
	"testing"
	"time"
)

// Leadership goes to a controller that far more machines reach, but not to and fro where nothing
// reaches the machines at all.
func TestTransferOnlyToAControllerThatIsReached(t *testing.T) {
	for _, c := range []struct {
		name  string
		reach reach
		led   time.Duration
		want  bool
	}{
		{"machines come here", reach{heard: 100, answered: 100, elsewhere: 0}, time.Hour, false},
		{"as many go elsewhere", reach{heard: 100, answered: 100, elsewhere: 100}, time.Hour, false},
		{"more than twice as many go elsewhere", reach{heard: 10, answered: 100, elsewhere: 21}, time.Second, true},
		{"none comes here, some elsewhere", reach{heard: 0, answered: 3, elsewhere: 3}, time.Second, true},
		{"none was ever answered", reach{heard: 0, answered: 0, elsewhere: 50}, keepWithoutAnswers - 1, false},
		{"none was ever answered, for a minute", reach{heard: 0, answered: 0, elsewhere: 50}, keepWithoutAnswers, true},
	} {
		if got := c.reach.favoursOther(c.led); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
