#include "node/reload.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <unistd.h>

namespace
{

const char *NODE = "{\"role\": \"node\", \"cluster\": \"c\", "
		   "\"node\": \"n\", \"failure_domain\": \"d\", "
		   "\"address\": \"127.0.0.1\", \"control_port\": 7620, "
		   "\"listen\": {\"client\": \"127.0.0.1:1\", "
		   "\"gate\": \"127.0.0.1:2\", \"ready\": \"127.0.0.1:3\", "
		   "\"announce\": \"127.0.0.1:4\"}, "
		   "\"endpoint\": {\"address\": \"127.0.0.1:5\", "
		   "\"service\": \"a\"}, ";

std::string with(const std::string &more)
{
	return NODE + more + "}";
}

struct Change {
	const char *name;
	std::string text;
	ql_reload_result_t result;
	size_t n_seeds;
};

class Reload : public testing::TestWithParam<Change>
{
      protected:
	void SetUp() override
	{
		int fd = mkstemp(path);

		ASSERT_GE(fd, 0);
		close(fd);
		write(with("\"seeds\": [\"127.0.0.1:9\"]"));
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

TEST_P(Reload, TakesWhatIsValidAndKeepsTheRest)
{
	write(GetParam().text);
	EXPECT_EQ(GetParam().result, ql_reload_check(&reload, &settings));
	EXPECT_EQ(GetParam().n_seeds, settings.n_seeds);
	EXPECT_EQ(GetParam().n_seeds, settings.n_registrars);
	/* The same file is news once. */
	EXPECT_EQ(GetParam().result == QL_RELOAD_INVALID ? QL_RELOAD_INVALID
							 : QL_RELOAD_UNCHANGED,
		  ql_reload_check(&reload, &settings));
}

INSTANTIATE_TEST_SUITE_P(
	Files, Reload,
	testing::Values(
		Change{"Same", with("\"seeds\": [\"127.0.0.1:9\"]"),
		       QL_RELOAD_UNCHANGED, 1},
		Change{"MoreSeeds",
		       with("\"seeds\": [\"127.0.0.1:9\", \"127.0.0.2:9\"]"),
		       QL_RELOAD_CHANGED, 2},
		Change{"NoSeeds", with("\"seeds\": []"), QL_RELOAD_INVALID, 1},
		Change{"CutShort", "{\"role\": \"no", QL_RELOAD_INVALID, 1},
		Change{"Empty", "", QL_RELOAD_INVALID, 1},
		Change{"UnknownKey",
		       with("\"seeds\": [\"127.0.0.1:9\"], \"sed\": 1"),
		       QL_RELOAD_INVALID, 1}),
	[](const auto &change) { return change.param.name; });

} // namespace
