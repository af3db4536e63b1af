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
		} else {
			res->status = QL_E_NOT_FOUND;
			return;
		}
		res->report.report_len = (u_int)strlen(res->report.report_val);
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
		ql_command_config_get,	    ql_command_config_patch,
		ql_command_config_status,   ql_command_members,
		ql_command_status,	    ql_command_drain,
		ql_command_timeline,	    ql_command_metrics,
		ql_command_check,	    ql_command_replicas_status,
		ql_command_replicas_add,    ql_command_replicas_promote,
		ql_command_replicas_remove,
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
