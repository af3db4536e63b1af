#include "cli/command.h"
#include "cli/members.h"
#include "cli/options.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

#include <string>
#include <sysexits.h>

namespace
{

std::string format_table(std::initializer_list<const char *> cells)
{
	const char *const titles[] = {"A", "LONG TITLE", "C", nullptr};
	ql_text_table_t table;

	ql_text_table_init(&table, titles);
	for (const char *cell : cells)
		ql_text_table_add_cell(&table, cell);
	char *text = ql_text_table_format(&table);
	std::string out = text;
	g_free(text);
	ql_text_table_finish(&table);
	return out;
}

TEST(TextTable, AlignsColumnsAndReplacesControlCharacters)
{
	EXPECT_EQ("A       LONG TITLE  C\n"
		  "x       y           z\n"
		  "longer  -           -\n",
		  format_table({"x", "y", "z", "longer", "", nullptr}));
	EXPECT_EQ("A     LONG TITLE  C\n"
		  "a?b?  \xc3\xa4           ?[2J\n",
		  format_table({"a\nb\t", "\xc3\xa4", "\x1b[2J"}));
}

json_t *report(const char *text)
{
	return json_loads(text, 0, nullptr);
}

class Members : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_members_init(&members);
	}

	void TearDown() override
	{
		ql_members_finish(&members);
	}

	void merge(const char *text)
	{
		json_t *json = report(text);

		ASSERT_NE(nullptr, json);
		ql_members_merge_report(&members, json);
		json_decref(json);
	}

	ql_members_t members;
};

TEST_F(Members, MergesReportsByTheYoungestLease)
{
	ql_text_table_t table;

	merge(R"({"nodes":[{"node":"n2","failure_domain":"d1",
	     "config_version":4,"lease_age_ms":900,"endpoints":[]},
	     {"node":"n1","failure_domain":"d1","config_version":6,
	     "lease_age_ms":10,"endpoints":[]}],"domains":[]})");
	merge(R"({"nodes":[{"node":"n2","failure_domain":"d1",
	     "config_version":5,"lease_age_ms":20,"endpoints":[]},
	     {"node":"n0","failure_domain":"d2","config_version":6,
	     "lease_age_ms":1,"endpoints":[]}]})");
	merge("{}");
	EXPECT_EQ(6, ql_members_newest_version(&members));
	ql_text_table_init(&table, ql_members_version_titles);
	EXPECT_EQ(1u, ql_members_add_version_rows(&members, 6, false, &table));
	char *text = ql_text_table_format(&table);

	EXPECT_STREQ("FAILURE DOMAIN  NODE  VERSION  BEHIND  LEASE AGE (MS)\n"
		     "d1              n2    5        1       20\n",
		     text);
	g_free(text);
	ql_text_table_finish(&table);
}

TEST_F(Members, ListsEndpointsByDomainAndNode)
{
	ql_text_table_t table;

	merge(R"({"nodes":[{"node":"b","failure_domain":"d2",
	     "config_version":1,"lease_age_ms":5,"endpoints":[
	     {"service":"stock","gate":"127.0.0.1:1","state":"serving",
	      "slots":15}]},
	     {"node":"z","failure_domain":"d1","config_version":1,
	     "lease_age_ms":6,"endpoints":[]}]})");
	ql_text_table_init(&table, ql_members_endpoint_titles);
	ql_members_add_endpoint_rows(&members, &table);
	char *text = ql_text_table_format(&table);
	std::string lines = text;

	EXPECT_LT(lines.find("d1"), lines.find("d2"));
	EXPECT_NE(std::string::npos, lines.find("stock"));
	EXPECT_EQ(3, std::count(lines.begin(), lines.end(), '\n'));
	g_free(text);
	ql_text_table_finish(&table);
}

TEST(ExitStatus, IsStableForEachError)
{
	struct {
		int code, status;
	} cases[] = {
		{0, EX_OK},
		{QL_E_STALE, 4},
		{QL_E_CONFLICT, 3},
		{QL_E_DENIED, 3},
		{QL_E_PROTOCOL, 3},
		{QL_E_FULL, 3},
		{QL_E_UNAVAILABLE, EX_TEMPFAIL},
		{QL_E_TIMEOUT, EX_TEMPFAIL},
		{QL_E_NOT_LEADER, EX_TEMPFAIL},
		{QL_E_PENDING, EX_TEMPFAIL},
		{QL_E_IO, EX_IOERR},
		{QL_E_INVALID, EX_DATAERR},
		{QL_E_RANGE, EX_DATAERR},
		{QL_E_EXISTS, EX_DATAERR},
		{QL_E_NOT_FOUND, EX_DATAERR},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(ql_error_name(c.code));
		EXPECT_EQ(c.status, ql_command_exit_status(c.code));
	}
}

class Defaults : public testing::Test
{
      protected:
	void SetUp() override
	{
		folder = g_dir_make_tmp(nullptr, nullptr);
		path = std::string(folder) + "/defaults.json";
		g_setenv("QUETZALLOFT_CONFIG", path.c_str(), TRUE);
	}

	void TearDown() override
	{
		for (const char *name :
		     {"CONFIG", "SERVERS", "CLUSTER", "TIMEOUT_MS"})
			g_unsetenv(
				(std::string("QUETZALLOFT_") + name).c_str());
		unlink(path.c_str());
		rmdir(folder);
		g_free(folder);
	}

	int read(const char *text)
	{
		options = {};
		if (text)
			g_file_set_contents(path.c_str(), text, -1, nullptr);
		return ql_options_load_defaults(&options, nullptr);
	}

	char *folder;
	std::string path;
	ql_options_t options;
};

TEST_F(Defaults, AreReadFromTheFileThenTheEnvironment)
{
	const char *text = R"({"cluster":"town","timeout_ms":500,
		"servers":["10.0.0.1:1","10.0.0.2:1"]})";

	ASSERT_EQ(0, read(text));
	EXPECT_STREQ("town", options.cluster);
	EXPECT_EQ(500u, options.timeout_ms);
	ASSERT_EQ(2u, options.n_servers);
	EXPECT_STREQ("10.0.0.2:1", options.servers[1]);
	g_setenv("QUETZALLOFT_SERVERS", "10.0.0.3:9", TRUE);
	g_setenv("QUETZALLOFT_CLUSTER", "village", TRUE);
	g_setenv("QUETZALLOFT_TIMEOUT_MS", "700", TRUE);
	ASSERT_EQ(0, read(text));
	EXPECT_STREQ("village", options.cluster);
	EXPECT_EQ(700u, options.timeout_ms);
	ASSERT_EQ(1u, options.n_servers);
	EXPECT_STREQ("10.0.0.3:9", options.servers[0]);
}

TEST_F(Defaults, RejectInvalidValues)
{
	struct {
		const char *text;
		const char *servers;
		const char *timeout;
		int expected;
	} cases[] = {
		{nullptr, "", "", QL_E_IO},
		{"{", "", "", QL_E_INVALID},
		{R"({"server":"x"})", "", "", QL_E_UNKNOWN_KEY},
		{R"({"servers":[1]})", "", "", QL_E_TYPE},
		{R"({"servers":["host:1"]})", "", "", QL_E_INVALID},
		{R"({"timeout_ms":0})", "", "", QL_E_RANGE},
		{"{}", "127.0.0.1", "", QL_E_INVALID},
		{"{}", "", "soon", QL_E_RANGE},
		{"{}", "", "-1", QL_E_RANGE},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.text ? c.text : "no file");
		g_setenv("QUETZALLOFT_SERVERS", c.servers, TRUE);
		g_setenv("QUETZALLOFT_TIMEOUT_MS", c.timeout, TRUE);
		EXPECT_EQ(c.expected, read(c.text));
	}
}

} // namespace
