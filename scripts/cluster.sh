# Functions that run a small system as separate processes on loopback. Source it.
#
#   cluster_init DIR MANIFEST     writes the settings of all processes below DIR
#   cluster_start                 starts everything and applies the manifest
#   process_start NAME            starts one process; process_kill NAME [SIGNAL]
#   cluster_stop                  ends all processes that were started here
#   check WHAT COMMAND...         prints whether the command succeeds; failures counts those that don't
#   now_ms                        prints the time in milliseconds
#
# TARGETS lists "service kind count" lines; BASE is the first port. With RELAY=1 all
# connections between processes run through a relay, and each process opens them
# from an address of its own; operators, the load and the admin pages go past it.
#
#   relay CALL [FROM TO]          cut, silence or heal; FROM and TO are lists such as '"entry-1"'

BASE=${BASE:-17000}
RELAY_OFFSET=$((${RELAY:+500} + 0)) # from a process's port to that of its link
DOMAINS=(milford swansea cardiff)
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=$ROOT/bin/cardamomline
declare -A PIDS=()
failures=0

check() {
	local what=$1
	shift
	if "$@"; then echo "ok: $what"; else echo "FAILED: $what"; failures=$((failures + 1)); fi
}

now_ms() { date +%s%3N; }

TARGETS=${TARGETS:-"generators engine 4
encoders encoder 2
retrievers retriever 2
rerankers reranker 2
orders-core service 3
port-notices service 2
invoicing service 1
barge-roster service 1"}

operations_of() {
	case $1 in
	encoders) echo '[{name: encode, idempotent: true, duration: 3ms}]' ;;
	retrievers) echo '[{name: retrieve, idempotent: true, duration: 5ms}]' ;;
	rerankers) echo '[{name: rerank, idempotent: true, duration: 5ms}]' ;;
	orders-core) echo '[{name: release_fuel, idempotent: false, duration: 5ms}, {name: stock_lookup, idempotent: true, duration: 2ms}]' ;;
	ledger-core) echo '[{name: reserve_stock, idempotent: false, duration: 5ms}, {name: post_invoice, idempotent: false, duration: 5ms}, {name: stock_lookup, idempotent: true, duration: 2ms}]' ;;
	port-notices) echo '[{name: notice_lookup, idempotent: true, duration: 2ms}]' ;;
	invoicing) echo '[{name: invoice_lookup, idempotent: true, duration: 2ms}]' ;;
	barge-roster) echo '[{name: barge_lookup, idempotent: true, duration: 2ms}]' ;;
	price-book) echo '[{name: price_lookup, idempotent: true, duration: 2ms}]' ;;
	supplier-registry) echo '[{name: supplier_lookup, idempotent: true, duration: 2ms}]' ;;
	branch-portal) echo '[{name: branch_lookup, idempotent: true, duration: 2ms}]' ;;
	esac
}

common_settings() { # name role domain listen admin
	local control=$CONTROL
	if [ -n "${RELAY:-}" ]; then
		control="127.0.0.1:$((BASE + 501)), 127.0.0.1:$((BASE + 502)), 127.0.0.1:$((BASE + 503))"
		printf 'advertise: 127.0.0.1:%d\nsource: 127.0.1.%d\n' $(($4 + RELAY_OFFSET)) $(($4 - BASE))
		relay_link "$1" "$4"
		printf '  127.0.1.%d: %s\n' $(($4 - BASE)) "$1" >>"$DIR/relay-sources.yaml"
	fi
	printf 'role: %s\nname: %s\nregion: south-wales\nfailure_domain: %s\nlisten: %s\nadmin: %s\ncontrol: [%s]\n' \
		"$2" "$1" "$3" "127.0.0.1:$4" "127.0.0.1:$5" "$control"
}

relay_link() { # name port
	printf '  - {name: %s, listen: "127.0.0.1:%d", target: "127.0.0.1:%d"}\n' "$1" $(($2 + RELAY_OFFSET)) "$2" >>"$DIR/relay-links.yaml"
}

relay() {
	local body="{}"
	if [ $# -gt 1 ]; then body="{\"from\": [$2], \"to\": [$3]}"; fi
	curl -fs -d "$body" "http://127.0.0.1:$((BASE + 900))/v1/$1" >/dev/null
}

cluster_init() {
	DIR=$1
	MANIFEST=$2
	mkdir -p "$DIR"
	CONTROL="127.0.0.1:$((BASE + 1)), 127.0.0.1:$((BASE + 2)), 127.0.0.1:$((BASE + 3))"
	export CARDAMOMLINE_CONTROL=${CONTROL// /}
	ENTRIES="127.0.0.1:$((BASE + 11)),127.0.0.1:$((BASE + 12))"
	AGENTS=()
	STANDINS=()
	local i
	for i in 1 2 3; do
		{
			common_settings "control-$i" control "${DOMAINS[i - 1]}" $((BASE + i)) $((BASE + 300 + i))
			printf 'data_folder: %s\n' "$DIR/data-$i"
		} >"$DIR/control-$i.yaml"
		sed -n 's/^control:/peers:/p' "$DIR/control-$i.yaml" >>"$DIR/control-$i.yaml"
		printf 'standins:\n' >"$DIR/standin-$i.yaml"
	done
	for i in 1 2; do
		common_settings "entry-$i" entry "${DOMAINS[i - 1]}" $((BASE + 10 + i)) $((BASE + 310 + i)) >"$DIR/entry-$i.yaml"
	done
	local n=0 service kind count d name port models
	models=$(sed -n '/^models:/,/^services:/s/.*name: \([a-z0-9-]*\).*/\1/p' "$MANIFEST" | head -1)
	while read -r service kind count; do
		for i in $(seq "$count"); do
			n=$((n + 1))
			d=$((n % 3))
			name=$service-$i
			port=$((BASE + 200 + n))
			{
				common_settings "agent-$name" agent "${DOMAINS[d]}" $((BASE + 100 + n)) $((BASE + 400 + n))
				printf 'target: {name: %s, service: %s, url: "http://127.0.0.1:%d"}\n' "$name" "$service" $((port + RELAY_OFFSET))
				if [ -n "${RELAY:-}" ]; then relay_link "target-$name" "$port"; fi
			} >"$DIR/agent-$name.yaml"
			{
				printf '  - {name: %s, service: %s, kind: %s, listen: "127.0.0.1:%d", slots: 8, account: 200000' "$name" "$service" "$kind" "$port"
				if [ "$kind" = engine ]; then printf ', engine: {models: [%s]}' "$models"; else printf ', operations: %s' "$(operations_of "$service")"; fi
				printf '}\n'
			} >>"$DIR/standin-$((d + 1)).yaml"
			AGENTS+=("agent-$name")
			ACCOUNTS="${ACCOUNTS:+$ACCOUNTS,}http://127.0.0.1:$port"
		done
	done <<<"$TARGETS"
	STANDINS=(standin-1 standin-2 standin-3)
	if [ -n "${RELAY:-}" ]; then
		{
			printf 'admin: 127.0.0.1:%d\nlinks:\n' $((BASE + 900))
			cat "$DIR/relay-links.yaml"
			printf 'sources:\n'
			cat "$DIR/relay-sources.yaml"
		} >"$DIR/relay.yaml"
	fi
}

process_start() {
	local name=$1 role=${1%%-*}
	"$BIN" "$role" --settings "$DIR/$name.yaml" >>"$DIR/$name.log" 2>&1 &
	PIDS[$name]=$!
}

process_kill() {
	kill "-${2:-KILL}" "${PIDS[$1]}"
	wait "${PIDS[$1]}" 2>/dev/null || true
}

admin_port() {
	sed -n 's/^admin: 127.0.0.1:\([0-9]*\)$/\1/p' "$DIR/$1.yaml"
}

process_wait_ready() {
	local port i
	port=$(admin_port "$1")
	for i in $(seq 200); do
		if curl -fs -o /dev/null "http://127.0.0.1:$port/readyz"; then return 0; fi
		sleep 0.05
	done
	echo "$1 is not ready after 10 s" >&2
	return 1
}

cluster_start() {
	local name
	if [ -n "${RELAY:-}" ]; then
		"$BIN" standin relay --settings "$DIR/relay.yaml" >>"$DIR/relay.log" 2>&1 &
		PIDS[relay]=$!
	fi
	for name in "${STANDINS[@]}" control-1 control-2 control-3 "${AGENTS[@]}" entry-1 entry-2; do process_start "$name"; done
	for name in control-1 control-2 control-3; do process_wait_ready "$name" || return 1; done
	"$BIN" manifest apply "$MANIFEST" --wait --operator script || return 1
	for name in "${AGENTS[@]}" entry-1 entry-2; do process_wait_ready "$name" || return 1; done
}

cluster_stop() {
	local pid
	for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
}

leader_number() {
	"$BIN" status -o json | sed -n '/"controls"/,/]/p' | tr -d '\n ' | tr '{' '\n' | grep '"leader":true' | sed "s/.*127.0.0.1:$((BASE / 1000))[0-9]*\([0-9]\)\".*/\1/"
}
