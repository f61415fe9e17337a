package commands_test

import (
	"context"
	"net/http/httptest"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// controlVM serves the answers of a control VM from the script's files: controlvm
// STATUS-FILE. The removal of member M is answered by the file remove-M.json.
func controlVM(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: controlvm STATUS-FILE")
	}
	vm := &answeringVM{status: &wire.StatusResponse{}, removals: map[string]*wire.RemoveMemberResponse{}}
	read := func(file string, m proto.Message) { ts.Check(protojson.Unmarshal([]byte(ts.ReadFile(file)), m)) }
	read(args[0], vm.status)
	for _, m := range append(vm.status.Members, &wire.MemberStatus{Member: &wire.Member{Id: "nobody"}}) {
		r := &wire.RemoveMemberResponse{}
		read("remove-"+m.GetMember().GetId()+".json", r)
		vm.removals[m.GetMember().GetId()] = r
	}
	server := httptest.NewServer(wire.NewControlServer(vm))
	ts.Defer(server.Close)
	ts.Setenv("CARDAMOMLINE_CONTROL", strings.TrimPrefix(server.URL, "http://"))
}

// answeringVM answers what it was given; other calls aren't expected.
type answeringVM struct {
	wire.Control
	status   *wire.StatusResponse
	removals map[string]*wire.RemoveMemberResponse
}

func (v *answeringVM) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return v.status, nil
}

func (v *answeringVM) RemoveMember(_ context.Context, r *wire.RemoveMemberRequest) (*wire.RemoveMemberResponse, error) {
	return v.removals[r.GetMemberId()], nil
}
