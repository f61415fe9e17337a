package settings_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/settings"
)

// Guards against example settings that the program itself refuses.
func TestLoadExamples(t *testing.T) {
	for role, name := range map[settings.Role]string{
		settings.RoleControl: "control-1", settings.RoleEntry: "entry-1", settings.RoleAgent: "agent-1",
	} {
		s, err := settings.Load(filepath.Join("..", "..", "examples", "settings", name+".yaml"))
		require.NoError(t, err)
		require.Equal(t, role, s.Role())
		require.Len(t, s.Control(), 3)
	}
}
