#include "cli/command.h"
#include "control/greeting.h"
#include "control/rpc_server.h"
#include "quetzalloft/error.h"
#include "quetzalloft/timeline.h"

#include "replication.h"
#include "support/own_address.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <mutex>
#include <string>
#include <sysexits.h>
#include <unistd.h>
#include <vector>

namespace
{

const std::string ADDRESS = own_address(27981);
const std::string UNUSED_ADDRESS = own_address(27980);
const char MEMBERS[] =
	R"({"nodes":[{"node":"n1","failure_domain":"d1","config_version":3,
	"lease_age_ms":1,"endpoints":[]},{"node":"n2","failure_domain":"d1",
	"config_version":2,"lease_age_ms":2,"endpoints":[]}],"domains":[
	{"failure_domain":"d2","age_ms":9000,"covered":false,"stale":true}]})";

const char EXPLANATION[] =
	R"({"outcome":"by_chance","version":3,"team":"red","call":false,
	"route":{"name":"get","target_ms":50,"deadline_ms":900},
	"class":{"name":"low","shed_order":1},
	"keys":{"current":true,"age_ms":12,"lease_ms":9000},
	"quota":{"rate_per_s":5.0,"burst":7.0,"tokens":2,"next":"admitted",
	"room_in_ms":null},"admission":{"share":0.5,"guaranteed_share":0.1,
	"in_progress":4,"next_by":"chance","next_chance":0.5},
	"service":{"name":"a","split":[{"service":"a","weight":3,"next":true},
	{"service":"b","weight":1,"next":false}]},"balancer":{
	"policy":"least_time","likely":"127.0.0.9:1","compared_by":"cost",
	"reason":"it is the only candidate","endpoints":[{"gate":"127.0.0.9:1",
	"likely":true,"estimate":812.5,"occupancy":0.25,
	"occupancy_age_ms":40,"obstacle":"none"}]}})";

/* Runs commands against a control port with scripted answers. */
class Commands : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_hlc_init(&hlc);
		ql_timeline_init(&timeline, "n1", &hlc,
				 QL_TIMELINE_REPORT_EVENTS_MAX + 64);
		server = {};
		server.programs[0] = {QL_CONTROL_PROGRAM, QL_CONTROL_V1,
				      PROCEDURES, 2, this};
		server.programs[1] = {QL_REPLICA_PROGRAM, QL_REPLICA_V1,
				      REPLICA_PROCEDURES, 2, this};
		server.n_programs = 2;
		ASSERT_EQ(0, ql_rpc_server_start(&server, ADDRESS.c_str(),
						 nullptr));
	}

	void TearDown() override
	{
		ql_rpc_server_stop(&server);
		ql_timeline_finish(&timeline);
	}

	static void report(void *data, const void *in, void *out)
	{
		auto *self = static_cast<Commands *>(data);
		auto *args = static_cast<const ql_rpc_report_args *>(in);
		auto *res = static_cast<ql_rpc_report_res *>(out);
		json_t *json;

		res->status = ql_greeting_check(&args->greeting, "town",
						&res->detail);
		if (res->status)
			return;
		res->detail = strdup("");
		if (!strcmp(args->topic, "timeline")) {
			json = ql_timeline_report(&self->timeline,
						  args->filter);
			res->report.report_val = json_dumps(json, 0);
			json_decref(json);
		} else if (!strcmp(args->topic, "members")) {
			res->report.report_val = strdup(MEMBERS);
		} else if (!strcmp(args->topic, "explain")) {
			self->answer_explain(args->filter, res);
			if (res->status)
				return;
		} else {
			res->status = QL_E_NOT_FOUND;
			return;
		}
		res->report.report_len = (u_int)strlen(res->report.report_val);
	}

	/* Answers as the path of the request asks for. */
	void answer_explain(const char *asked, ql_rpc_report_res *res)
	{
		std::lock_guard<std::mutex> guard(lock);
		const struct {
			const char *path;
			int status;
			const char *detail;
		} errors[] = {
			{"/route", QL_E_NOT_FOUND, "no route"},
			{"/key", QL_E_UNKNOWN_KEY, "no team"},
			{"/missing", QL_E_MISSING_KEY, "need an API key"},
			{"/proof", QL_E_PENDING, "cannot prove"},
			{"/leaving", QL_E_UNAVAILABLE, "is leaving"},
			{"/core", QL_E_NOT_FOUND, "no call path"},
			{"/slow", QL_E_TIMEOUT, "did not answer"},
		};

		filter = asked;
		for (const auto &e : errors) {
			if (filter.find(std::string("\"") + e.path + "\"") ==
			    std::string::npos)
				continue;
			res->status = e.status;
			free(res->detail);
			res->detail = strdup(e.detail);
			return;
		}
		res->report.report_val = strdup(EXPLANATION);
	}

	/* Answers "not leader" first, then "pending", then accepts the patch.
	 */
	static void patch(void *data, const void *in, void *out)
	{
		auto *self = static_cast<Commands *>(data);
		auto *args = static_cast<const ql_rpc_patch_args *>(in);
		auto *res = static_cast<ql_rpc_patch_res *>(out);
		const int statuses[] = {QL_E_NOT_LEADER, QL_E_PENDING, 0};

		std::lock_guard<std::mutex> guard(self->lock);
		self->ids.push_back(args->id);
		res->status =
			statuses[std::min<size_t>(self->ids.size() - 1, 2)];
		res->config_version = 8;
		res->detail = strdup("");
		res->leader = strdup(
			res->status == QL_E_NOT_LEADER ? ADDRESS.c_str() : "");
	}

	static void replica_status(void *, const void *, void *out)
	{
		auto *res = static_cast<ql_rpc_replica_status_res *>(out);
		auto *member = static_cast<ql_rpc_replica_member *>(
			calloc(1, sizeof(ql_rpc_replica_member)));

		res->detail = strdup("");
		res->id = 0xabc;
		res->role = strdup("leader");
		res->leader_address = strdup(ADDRESS.c_str());
		res->config_version = 8;
		res->commit = 5;
		member->id = 0xabc;
		member->address = strdup("127.0.0.9:1");
		member->voter = TRUE;
		res->members.members.members_len = 1;
		res->members.members.members_val = member;
	}

	/* Answers "pending" first; later refuses the identity 0x99 only. */
	static void change(void *data, const void *in, void *out)
	{
		auto *self = static_cast<Commands *>(data);
		auto *args =
			static_cast<const ql_rpc_replica_change_args *>(in);
		auto *res = static_cast<ql_rpc_replica_change_res *>(out);
		std::lock_guard<std::mutex> guard(self->lock);

		self->ids.push_back(std::to_string(args->kind) + " " +
				    std::to_string(args->id) + " " +
				    args->address);
		if (self->ids.size() == 1)
			res->status = QL_E_PENDING;
		else if (args->id == 0x99)
			res->status = QL_E_NOT_FOUND;
		res->detail = strdup("detail");
		res->leader_address = strdup("");
	}

	int run(int (*command)(int, char **), std::vector<std::string> words)
	{
		std::vector<char *> argv;

		words.insert(words.begin(), "command");
		for (auto &word : words)
			argv.push_back(word.data());
		argv.push_back(nullptr);
		testing::internal::CaptureStdout();
		testing::internal::CaptureStderr();
		int status = command((int)words.size(), argv.data());
		out = testing::internal::GetCapturedStdout();
		err = testing::internal::GetCapturedStderr();
		return status;
	}

	std::vector<std::string> sent_ids()
	{
		std::lock_guard<std::mutex> guard(lock);

		return ids;
	}

	static const ql_rpc_procedure_t PROCEDURES[2];
	static const ql_rpc_procedure_t REPLICA_PROCEDURES[2];
	ql_hlc_t hlc;
	ql_timeline_t timeline;
	ql_rpc_server_t server;
	std::mutex lock; /* guards ids */
	std::vector<std::string> ids;
	std::string filter; /* of the last explanation */
	std::string out, err;
};

const ql_rpc_procedure_t Commands::PROCEDURES[2] = {
	{QL_REPORT, (xdrproc_t)xdr_ql_rpc_report_args,
	 (xdrproc_t)xdr_ql_rpc_report_res, sizeof(ql_rpc_report_args),
	 sizeof(ql_rpc_report_res), Commands::report},
	{QL_PATCH, (xdrproc_t)xdr_ql_rpc_patch_args,
	 (xdrproc_t)xdr_ql_rpc_patch_res, sizeof(ql_rpc_patch_args),
	 sizeof(ql_rpc_patch_res), Commands::patch},
};

const ql_rpc_procedure_t Commands::REPLICA_PROCEDURES[2] = {
	{QL_REPLICA_STATUS, (xdrproc_t)xdr_ql_rpc_replica_status_args,
	 (xdrproc_t)xdr_ql_rpc_replica_status_res,
	 sizeof(ql_rpc_replica_status_args), sizeof(ql_rpc_replica_status_res),
	 Commands::replica_status},
	{QL_REPLICA_CHANGE, (xdrproc_t)xdr_ql_rpc_replica_change_args,
	 (xdrproc_t)xdr_ql_rpc_replica_change_res,
	 sizeof(ql_rpc_replica_change_args), sizeof(ql_rpc_replica_change_res),
	 Commands::change},
};

/* Without the refusal the filter would be left out, or match nothing. */
TEST_F(Commands, RefuseNegativeFiltersOfTheTimeline)
{
	const struct {
		std::string option;
		std::string value;
		int status;
	} cases[] = {
		{"--version", "0", EX_OK},
		{"--version", "-1", EX_USAGE},
		{"--version", "-2147483648", EX_USAGE},
		{"--last", "0", EX_OK},
		{"--last", "2147483647", EX_OK},
		{"--last", "-1", EX_USAGE},
		{"--last", "-2147483648", EX_USAGE},
	};

	ql_timeline_event_t event = {};

	event.event = QL_EVENT_GATE_ADMITTED;
	ql_timeline_record(&timeline, &event);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.option + " " + c.value);
		EXPECT_EQ(c.status,
			  run(ql_command_timeline, {"-s", ADDRESS, "-c", "town",
						    c.option + "=" + c.value}));
		if (c.value == "2147483647") {
			EXPECT_NE(std::string::npos, out.find("n1")) << out;
		}
		if (c.status) {
			EXPECT_NE(std::string::npos, err.find(c.option)) << err;
		}
	}
}

TEST_F(Commands, ShowReplicasAndTheirMembers)
{
	EXPECT_EQ(QL_EXIT_PARTIAL,
		  run(ql_command_replicas_status,
		      {"-s", ADDRESS, "-s", UNUSED_ADDRESS, "-c", "town"}));
	EXPECT_NE(std::string::npos, out.find("0000000000000abc  leader"))
		<< out;
	EXPECT_NE(std::string::npos,
		  out.find("0000000000000abc  127.0.0.9:1  yes"))
		<< out;
}

TEST_F(Commands, ResendReplicaChangesUntilFinal)
{
	struct {
		int (*command)(int, char **);
		std::string word;
		int status;
		std::string sent;
	} cases[] = {
		{ql_command_replicas_add, ADDRESS, EX_OK, "0 2748 " + ADDRESS},
		{ql_command_replicas_promote, "abc", EX_OK, "1 2748 "},
		{ql_command_replicas_remove, "abc", EX_OK, "2 2748 "},
		{ql_command_replicas_remove, "99", EX_DATAERR, "2 153 "},
		{ql_command_replicas_remove, "no", EX_USAGE, ""},
		{ql_command_replicas_add, UNUSED_ADDRESS, EX_TEMPFAIL, ""},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.word);
		size_t before = sent_ids().size();

		EXPECT_EQ(c.status, run(c.command,
					{"-s", ADDRESS, "-c", "town", c.word}));
		std::vector<std::string> sent = sent_ids();
		EXPECT_EQ(c.sent, sent.size() == before ? "" : sent.back());
	}
	EXPECT_EQ(5u, sent_ids().size());
}

TEST_F(Commands, ShowWhichNodesLag)
{
	EXPECT_EQ(QL_EXIT_PARTIAL,
		  run(ql_command_config_status, {"-s", ADDRESS, "-c", "town"}));
	EXPECT_NE(std::string::npos,
		  out.find("newest version in force: 3; nodes known: 2; "
			   "nodes behind: 1"))
		<< out;
	EXPECT_NE(std::string::npos, out.find("n2"));
	EXPECT_EQ(std::string::npos, out.find("n1"));
}

TEST_F(Commands, ListMembersAndReportUnreachableServers)
{
	EXPECT_EQ(EX_OK,
		  run(ql_command_members, {"-s", ADDRESS, "-c", "town"}));
	EXPECT_NE(std::string::npos, out.find("failure domain d2: no contact"));
	EXPECT_EQ(QL_EXIT_PARTIAL,
		  run(ql_command_members,
		      {"-s", UNUSED_ADDRESS, "-s", ADDRESS, "-c", "town"}));
	EXPECT_NE(std::string::npos, err.find(UNUSED_ADDRESS)) << err;
	EXPECT_NE(std::string::npos, out.find("n2"));
	EXPECT_EQ(EX_TEMPFAIL, run(ql_command_members,
				   {"-s", UNUSED_ADDRESS, "-c", "town"}));
	EXPECT_EQ(QL_EXIT_REFUSED,
		  run(ql_command_members, {"-s", ADDRESS, "-c", "other"}));
	EXPECT_NE(std::string::npos, err.find("denied")) << err;
	EXPECT_EQ(EX_DATAERR,
		  run(ql_command_status, {"-s", ADDRESS, "-c", "town"}));
}

TEST_F(Commands, FetchATimelineOfSeveralPages)
{
	ql_timeline_event_t event = {};

	event.event = QL_EVENT_GATE_ADMITTED;
	for (size_t i = 0; i < QL_TIMELINE_REPORT_EVENTS_MAX + 3; i++)
		ql_timeline_record(&timeline, &event);
	EXPECT_EQ(EX_OK, run(ql_command_timeline,
			     {"-s", ADDRESS, "-c", "town", "--json"}));
	EXPECT_EQ(QL_TIMELINE_REPORT_EVENTS_MAX + 3,
		  (size_t)std::count(out.begin(), out.end(), '\n'));
	EXPECT_EQ("", err);
	EXPECT_EQ(EX_USAGE,
		  run(ql_command_timeline,
		      {"-s", ADDRESS, "-c", "town", "--request", "xyz"}));
}

TEST_F(Commands, ResendAPatchUnderOneId)
{
	char *folder = g_dir_make_tmp(nullptr, nullptr);
	std::string path = std::string(folder) + "/patch";

	g_file_set_contents(path.c_str(), "{}", -1, nullptr);
	EXPECT_EQ(EX_OK, run(ql_command_config_patch,
			     {"-s", UNUSED_ADDRESS, "-s", ADDRESS, "-c", "town",
			      "-b", "7", path}));
	EXPECT_EQ("accepted as version 8\n", out);
	std::vector<std::string> sent = sent_ids();

	ASSERT_EQ(3u, sent.size());
	EXPECT_EQ(sent[0], sent[1]);
	EXPECT_EQ(sent[0], sent[2]);
	EXPECT_EQ("id " + sent[0] + "\n", err);
	EXPECT_EQ(EX_USAGE,
		  run(ql_command_config_patch,
		      {"-s", ADDRESS, "-c", "town", "-b", "-1", path}));
	unlink(path.c_str());
	EXPECT_EQ(EX_NOINPUT,
		  run(ql_command_config_patch,
		      {"-s", ADDRESS, "-c", "town", "-b", "7", path}));
	rmdir(folder);
	g_free(folder);
}

TEST_F(Commands, ExplainMapsEachErrorToAStatus)
{
	const std::string LONG(600, 'x');
	const struct {
		std::vector<std::string> words;
		int status;
		const char *err;
	} cases[] = {
		{{"-s", ADDRESS, "/ok"}, EX_OK, ""},
		{{"-s", ADDRESS, "/route"}, EX_DATAERR, "no route"},
		{{"-s", ADDRESS, "/key"}, EX_DATAERR, "no team"},
		{{"-s", ADDRESS, "/missing"}, EX_DATAERR, "need an API key"},
		{{"-s", ADDRESS, "/proof"}, EX_TEMPFAIL, "cannot prove"},
		{{"-s", ADDRESS, "/leaving"}, EX_TEMPFAIL, "is leaving"},
		{{"-s", ADDRESS, "/core"}, EX_DATAERR, "no call path"},
		{{"-s", ADDRESS, "/slow"}, EX_TEMPFAIL, "did not answer"},
		{{"-s", UNUSED_ADDRESS, "/ok"}, EX_TEMPFAIL, "unavailable"},
		{{"-s", ADDRESS}, EX_USAGE, "--help"},
		{{"-s", ADDRESS, "relative"}, EX_USAGE, "must start with"},
		{{"-s", ADDRESS, "-s", ADDRESS, "/ok"},
		 EX_USAGE,
		 "exactly one"},
		{{"-s", ADDRESS, "-m", "LONGNAME", "/ok"},
		 EX_USAGE,
		 "--method"},
		{{"-s", ADDRESS, "-m", "", "/ok"}, EX_USAGE, "--method"},
		{{"-s", ADDRESS, "-H", LONG, "/ok"}, EX_USAGE, "--host"},
		{{"-s", ADDRESS, "/" + LONG}, EX_USAGE, "511 bytes"},
		{{"-s", ADDRESS, "--api-key", "k", "/ok"}, EX_USAGE, "--help"},
		{{"-s", ADDRESS, "--key", "k", "/ok"}, EX_NOINPUT, "k"},
		{{"-s", ADDRESS, "-k", "/nowhere", "/ok"},
		 EX_NOINPUT,
		 "/nowhere"},
		{{"-s", ADDRESS, "-k", "/dev/null", "/ok"},
		 EX_DATAERR,
		 "empty"},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.words.back());
		std::vector<std::string> words = c.words;

		words.insert(words.begin(), {"-c", "town"});
		EXPECT_EQ(c.status, run(ql_command_explain, words));
		EXPECT_NE(std::string::npos, err.find(c.err)) << err;
	}
}

TEST_F(Commands, ExplainShowsAllPartsAndNeverTheKey)
{
	char *folder = g_dir_make_tmp(nullptr, nullptr);
	std::string path = std::string(folder) + "/key";

	g_file_set_contents(path.c_str(), "secret-1\n", -1, nullptr);
	EXPECT_EQ(EX_OK, run(ql_command_explain,
			     {"-s", ADDRESS, "-c", "town", "-m", "POST", "-H",
			      "shop", "-k", path, "/ok"}));
	EXPECT_EQ(R"({"call":false,"host":"shop","key":"secret-1",)"
		  R"("method":"POST","path":"/ok"})",
		  filter);
	for (const char *text :
	     {"by_chance", "get, target 50 ms", "red", "shed order 1",
	      "proven 12 ms ago", "tokens held 2", "share 0.5", "chance 0.5",
	      "127.0.0.9:1", "812.5", "0.25", "40", "only candidate"})
		EXPECT_NE(std::string::npos, out.find(text)) << text << out;
	EXPECT_EQ(std::string::npos, (out + err).find("secret"));
	g_setenv("QUETZALLOFT_KEY", "secret-2", TRUE);
	EXPECT_EQ(EX_OK, run(ql_command_explain,
			     {"-s", ADDRESS, "-c", "town", "--json", "/ok"}));
	EXPECT_NE(std::string::npos, filter.find("secret-2"));
	EXPECT_EQ(std::string::npos, (out + err).find("secret"));
	EXPECT_NE(std::string::npos, out.find("\"next_by\"")) << out;
	g_unsetenv("QUETZALLOFT_KEY");
	unlink(path.c_str());
	rmdir(folder);
	g_free(folder);
}

TEST_F(Commands, CheckDetectsTheKindOfFile)
{
	struct {
		std::vector<std::string> words;
		int status;
		const char *out, *err;
	} cases[] = {
		{{QL_SOURCE_DIR "/charts/patch.json"},
		 EX_OK,
		 "chart patch",
		 ""},
		{{"--dot", QL_SOURCE_DIR "/charts/patch.json"},
		 EX_OK,
		 "digraph \"patch\"",
		 ""},
		{{QL_SOURCE_DIR "/examples/tandfe.json"},
		 EX_OK,
		 "services",
		 ""},
		{{"--dot", QL_SOURCE_DIR "/examples/tandfe.json"},
		 EX_DATAERR,
		 "",
		 "needs a state chart"},
		{{QL_SOURCE_DIR "/CMakeLists.txt"},
		 EX_DATAERR,
		 "",
		 "CMakeLists.txt:1"},
		{{"/nowhere"}, EX_IOERR, "", "/nowhere"},
		{{}, EX_USAGE, "", "--help"},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.words.empty() ? "" : c.words.back());
		EXPECT_EQ(c.status, run(ql_command_check, c.words));
		EXPECT_NE(std::string::npos, out.find(c.out)) << out;
		EXPECT_NE(std::string::npos, err.find(c.err)) << err;
	}
}

TEST_F(Commands, PrintHelpAndRejectUnknownOptions)
{
	int (*const commands[])(int, char **) = {
		ql_command_config_get,	     ql_command_config_patch,
		ql_command_config_status,    ql_command_members,
		ql_command_status,	     ql_command_drain,
		ql_command_explain,	     ql_command_timeline,
		ql_command_metrics,	     ql_command_check,
		ql_command_replicas_status,  ql_command_replicas_add,
		ql_command_replicas_promote, ql_command_replicas_remove,
	};

	for (auto command : commands) {
		EXPECT_EQ(EX_OK, run(command, {"--help"}));
		EXPECT_EQ(0u, out.find("Usage: quetzalloft ")) << out;
		EXPECT_EQ("", err);
		EXPECT_EQ(EX_USAGE, run(command, {"--nonsense"}));
		EXPECT_NE(std::string::npos, err.find("--help")) << err;
	}
}

} // namespace
