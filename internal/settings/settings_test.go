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

// Guards against a process that announces the address it listens on although the
// others reach it under another one.
func TestAdvertiseReplacesListenTowardsOthers(t *testing.T) {
	const control = "role: control\nname: control-1\nregion: south-wales\nfailure_domain: milford\nlisten: 127.0.0.1:7001\n" +
		"admin: 127.0.0.1:7101\ncontrol: [127.0.0.1:8001]\ndata_folder: data\npeers: [127.0.0.1:8001]\n"
	s, err := settings.Parse("control-1.yaml", []byte(control+"advertise: 127.0.0.1:8001\nsource: 127.0.1.1\n"))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8001", s.Advertise())
	require.Equal(t, "127.0.1.1", s.Source().String())
	_, err = settings.Parse("control-1.yaml", []byte(control))
	require.ErrorContains(t, err, "found no address 127.0.0.1:7001")
}
