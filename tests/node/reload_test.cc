#include "node/reload.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <unistd.h>

namespace
{

const char *NODE_SETTINGS =
	"{\"role\": \"node\", \"cluster\": \"c\", "
	"\"node\": \"n\", \"failure_domain\": \"d\", "
	"\"address\": \"127.0.0.1\", \"control_port\": 7620, "
	"\"listen\": {\"client\": \"127.0.0.1:1\", "
	"\"gate\": \"127.0.0.1:2\", \"ready\": \"127.0.0.1:3\", "
	"\"announce\": \"127.0.0.1:4\"}, "
	"\"endpoint\": {\"address\": \"127.0.0.1:5\", "
	"\"service\": \"a\"}, ";

std::string settings_with(const std::string &more)
{
	return NODE_SETTINGS + more + "}";
}

struct ReloadCase {
	const char *name;
	std::string text;
	ql_reload_result_t result;
	size_t n_seeds;
};

class Reload : public testing::TestWithParam<ReloadCase>
{
      protected:
	void SetUp() override
	{
		int fd = mkstemp(path);

		ASSERT_GE(fd, 0);
		close(fd);
		write(settings_with("\"seeds\": [\"127.0.0.1:9\"]"));
		ASSERT_EQ(0, ql_reload_init(&reload, path, nullptr));
		ASSERT_EQ(0,
			  ql_settings_parse(&settings, reload.json, nullptr));
	}

	void TearDown() override
	{
		ql_reload_finish(&reload);
		unlink(path);
	}

	void write(const std::string &text)
	{
		std::ofstream(path) << text;
	}

	char path[32] = "/tmp/reload-XXXXXX";
	ql_reload_t reload = {};
	ql_settings_t settings = {};
};

TEST_P(Reload, AppliesValidFilesAndRejectsOthers)
{
	write(GetParam().text);
	EXPECT_EQ(GetParam().result, ql_reload_check(&reload, &settings));
	EXPECT_EQ(GetParam().n_seeds, settings.n_seeds);
	EXPECT_EQ(GetParam().n_seeds, settings.n_registrars);
	/* A change is reported once, an invalid file at each check. */
	EXPECT_EQ(GetParam().result == QL_RELOAD_INVALID ? QL_RELOAD_INVALID
							 : QL_RELOAD_UNCHANGED,
		  ql_reload_check(&reload, &settings));
}

INSTANTIATE_TEST_SUITE_P(
	Files, Reload,
	testing::Values(
		ReloadCase{"Same",
			   settings_with("\"seeds\": [\"127.0.0.1:9\"]"),
			   QL_RELOAD_UNCHANGED, 1},
		ReloadCase{
			"MoreSeeds",
			settings_with(
				"\"seeds\": [\"127.0.0.1:9\", \"127.0.0.2:9\"]"),
			QL_RELOAD_CHANGED, 2},
		ReloadCase{"NoSeeds", settings_with("\"seeds\": []"),
			   QL_RELOAD_INVALID, 1},
		ReloadCase{"CutShort", "{\"role\": \"no", QL_RELOAD_INVALID, 1},
		ReloadCase{"Empty", "", QL_RELOAD_INVALID, 1},
		ReloadCase{"UnknownKey",
			   settings_with(
				   "\"seeds\": [\"127.0.0.1:9\"], \"sed\": 1"),
			   QL_RELOAD_INVALID, 1}),
	[](const auto &change) { return change.param.name; });

} // namespace
