package simwire

import (
	"bytes"
	"strings"
	"testing"
)

const settingsFields = "Balancers=1\tIndex=0\tDiscovery=on_request\tLimits.MaxConnects=3\tLimits.MaxRetryAfterMs=1000.0\t" +
	"Limits.Probing=false\tLimits.RetryAfter=true\tMyZone=0\tObligations.AskWithinMs=10000.0\t" +
	"Obligations.ColdFrom=0.1\tObligations.ColdMs=20000.0\tObligations.FallMs=3000.0\t" +
	"Obligations.FallMultiple=3.0\tServiceTypes.count=1\tServiceTypes.0.Benefit=1.0\t" +
	"ServiceTypes.0.Effect=safe\tServiceTypes.0.SetupTargetMs=300.0\tUnheardOf=1"

// configuredBatch configures instance 2 with one server.
const configuredBatch = "mark\t1000.0\nat\t2\nconfigure\t7\t" + settingsFields +
	"\nannounce\tremembered\t1\t1\nitem\t10.0.0.1:70\t0\t0\t0\tup\t1\t-\nover_to_you\n"

// runAdapter returns the replies to a whole input.
func runAdapter(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := New(strings.NewReader(in), &out).Run()
	return out.String(), err
}

// A batch is answered with the calls that its events lead to, and a flow whose id was forgotten is ignored.
func TestWholeBatches(t *testing.T) {
	out, err := runAdapter(t, configuredBatch+
		"mark\t1004.5\nat\t2\ndemand\tt/x\t0\t0\t-\t-\t-\t-\t240.25\nexpired\tt/gone\nover_to_you\n"+
		"mark\t1010.0\nat\t2\nestablished\tt/x\t0\t5.5\t10.0.0.1:70\n"+
		"signal\tt/x\t0\t10.0.0.1:70\t1\t500.5\nover_to_you\n"+
		"mark\t1020.0\nat\t2\nresponse\tt/x\t0\t10.0.0.1:70\tcompleted\t20.0\t1\t-\n"+
		"response\tt/x\t0\t10.0.0.1:70\tcompleted\t20.0\t1\t-\ntick_due\t9\nstop\nover_to_you\n")
	if err != nil {
		t.Fatal(err)
	}
	want := "as\t2\ntail\t1\nset_alarm\t1\t6000\nfinished\n" +
		"as\t2\nissue\tt/x\t10.0.0.1:70\t240.250\nfinished\nfinished\nas\t2\nset_alarm\t1\t6000\nfinished\n"
	if out != want {
		t.Fatalf("got %q, want %q", out, want)
	}
}

// A batch without events has to be answered as well.
func TestEmptyBatch(t *testing.T) {
	if out, err := runAdapter(t, "mark\t8412.25\nover_to_you\n"); out != "finished\n" || err != nil {
		t.Fatal(out, err)
	}
}

// Input that breaks the protocol is an error with its line and field.
func TestBadInput(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"mark\t10", "line 1: truncated"},
		{"mark\tten\nover_to_you\n", "line 1: mark: field TMs is not a time"},
		{"mark\t10\n", "line 2: the input ends within a batch"},
		{"mark\t10\nat\t1\ntick_due\t1\nover_to_you\n", "has no settings"},
		{"mark\t10\nat\t1\nconfigure\t1\tBalancers=0\nover_to_you\n", "line 3: configure: setting"},
		{configuredBatch + "mark\t11\nat\t2\ndemand\tt/x\t0\t0\n", "line 9: demand: field Team is missing"},
		{configuredBatch + "mark\t11\nat\t2\ntick_due\t1\t2\n", "line 9: tick_due: 1 extra fields"},
		{configuredBatch + "mark\t11\nat\t2\ndemand\tt/x\t0\t4\t-\t-\t-\t-\t2\n", "field Priority is 4, want less than 1"},
		{configuredBatch + "mark\t11\nat\t2\nprobed\t9.9.9.9:1\tcompleted\t1\t-\n", "field Host is not on any list"},
		{configuredBatch + "mark\t11\nat\t2\nnonsense\t1\n", "line 9: unknown message"},
	} {
		if _, err := runAdapter(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got %v, want %s", err, c.want)
		}
	}
}

// Invalid load reports and peer messages are ignored and are not fatal. Only a saturated host is reported to the other
// nodes.
func TestInvalidReportsAndMessagesAreIgnored(t *testing.T) {
	peerMessages := strings.Replace(configuredBatch, "UnheardOf=1", "LoadReport.How=pull\tLoadReport.Names=waiting,x0\tLimits.Peers=true", 1)
	for usage, published := range map[string]bool{"3,.95": true, "3,1e9": true, "3,.5": false, "3": false, "-": false,
		"3,-2": false, "3,NaN": false} {
		in := peerMessages + "mark\t1200\nat\t2\nprobed\t10.0.0.1:70\tcompleted\t1\t" + usage + "\n"
		for _, memo := range []string{"-", "!", "AQ==", "/////w==", strings.Repeat("AQEB", 100), strings.Repeat("AQEB", 4)} {
			in += "whisper\t99\t" + memo + "\n"
		}
		out, err := runAdapter(t, in+"over_to_you\nmark\t3200\nat\t2\ntick_due\t1\nover_to_you\n")
		if err != nil || strings.Contains(out, "memo_to\t*\t") != published {
			t.Errorf("%q: %v %q", usage, err, out)
		}
	}
}

// A missing setting is an error that names it.
func TestMissingSettingIsNamed(t *testing.T) {
	_, err := runAdapter(t, strings.Replace(configuredBatch, "Limits.MaxConnects=3\t", "", 1))
	if err == nil || !strings.Contains(err.Error(), "setting Limits.MaxConnects is missing") {
		t.Fatal(err)
	}
}
