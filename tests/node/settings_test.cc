#include "node/settings.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

const std::string BASE =
	"\"cluster\":\"c\",\"node\":\"n\",\"failure_domain\":\"d\","
	"\"address\":\"127.0.0.1\",\"client_port\":1,\"gate_port\":2,"
	"\"local_port\":3,\"control_port\":4";

struct SettingsCase {
	const char *more_json;
	int expected;
	const char *message_part;
};

class SettingsParse : public testing::TestWithParam<SettingsCase>
{
};

TEST_P(SettingsParse, ReportsTheKeyInTheError)
{
	std::string text = "{" + BASE + GetParam().more_json + "}";
	ql_settings_t settings;
	GError *error = nullptr;
	json_t *json;

	ASSERT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	EXPECT_EQ(GetParam().expected,
		  ql_settings_parse(&settings, json, &error));
	if (GetParam().message_part) {
		ASSERT_NE(nullptr, error);
		EXPECT_NE(nullptr,
			  strstr(error->message, GetParam().message_part))
			<< error->message;
	}
	g_clear_error(&error);
	json_decref(json);
}

INSTANTIATE_TEST_SUITE_P(
	Files, SettingsParse,
	testing::Values(
		SettingsCase{",\"registrars\":[\"127.0.0.1:4\"]", 0, nullptr},
		SettingsCase{"", QL_E_MISSING_KEY, "settings.registrars"},
		SettingsCase{",\"registrars\":[\"127.0.0.1\"]", QL_E_INVALID,
			     "settings.registrars[0]"},
		SettingsCase{",\"registrar\":true,\"replica\":true",
			     QL_E_MISSING_KEY, "settings.data_folder"},
		SettingsCase{",\"registrar\":true,\"replica\":true,"
			     "\"data_folder\":\"d\","
			     "\"replicas\":[\"127.0.0.1:4\"]",
			     0, nullptr},
		SettingsCase{",\"registrar\":true,\"replica\":true,"
			     "\"data_folder\":\"d\","
			     "\"replicas\":[\"127.0.0.1:5\"]",
			     QL_E_NOT_FOUND, "settings.replicas"},
		SettingsCase{",\"registrar\":true,\"colour\":1",
			     QL_E_UNKNOWN_KEY, "colour"},
		SettingsCase{",\"registrar\":true,\"renew_ms\":2000",
			     QL_E_RANGE, "settings.renew_ms"},
		SettingsCase{",\"registrar\":true,\"key_lease_ms\":\"5s\"", 0,
			     nullptr},
		SettingsCase{",\"registrar\":true,\"key_lease_ms\":0", 0,
			     nullptr},
		SettingsCase{",\"registrar\":true,\"key_lease_ms\":1199",
			     QL_E_RANGE, "settings.key_lease_ms: found 1199"},
		SettingsCase{",\"registrar\":true,\"key_lease_ms\":\"601s\"",
			     QL_E_RANGE, "settings.key_lease_ms: found 601000"},
		SettingsCase{",\"registrar\":true,\"grace_ms\":\"10s\"", 0,
			     nullptr},
		SettingsCase{",\"registrar\":true,\"quota_window_ms\":\"5s\","
			     "\"quota_overshoot\":0.1,\"quota_slack\":20",
			     0, nullptr},
		SettingsCase{",\"registrar\":true,\"quota_window_ms\":0",
			     QL_E_RANGE, "settings.quota_window_ms"},
		SettingsCase{",\"registrar\":true,\"quota_overshoot\":-0.1",
			     QL_E_RANGE, "settings.quota_overshoot"},
		SettingsCase{",\"registrar\":true,\"quota_slack\":-1",
			     QL_E_RANGE, "settings.quota_slack"},
		SettingsCase{",\"registrar\":true,\"grace_ms\":\"ten\"",
			     QL_E_INVALID, "settings.grace_ms: found \"ten\""},
		SettingsCase{",\"registrar\":true,\"grace_ms\":\"601s\"",
			     QL_E_RANGE, "settings.grace_ms: found 601000"},
		SettingsCase{",\"registrar\":true,\"replica_losses\":5",
			     QL_E_RANGE, "settings.replica_losses"},
		SettingsCase{
			",\"registrar\":true,\"voters\":3,\"replica_losses\":2",
			QL_E_RANGE,
			"settings.voters: found 3, allowed at least 5"},
		SettingsCase{",\"registrar\":true,\"balancer\":\"random\"", 0,
			     nullptr},
		SettingsCase{",\"registrar\":true,\"balancer\":\"even_load\"",
			     QL_E_NOT_FOUND, "random or two_choices"},
		SettingsCase{",\"registrar\":true,\"balancer\":\"magic\"",
			     QL_E_NOT_FOUND, "settings.balancer"},
		SettingsCase{
			",\"registrar\":true,\"limiter\":\"magic\"",
			QL_E_NOT_FOUND,
			"fixed, headroom, aimd, gradient or gradient_drift"}));

struct BalancerCase {
	const char *more_json;
	int expected;
	const char *name;
};

TEST(Settings, BalancerOfANode)
{
	const std::string node =
		R"("role":"node","cluster":"s","node":"n","failure_domain":"d",)"
		R"("address":"127.0.0.1","control_port":4,)"
		R"("seeds":["127.0.0.1:5"],"listen":{"client":"127.0.0.1:1",)"
		R"("gate":"127.0.0.1:2","ready":"127.0.0.1:3",)"
		R"("announce":"127.0.0.1:6"},)"
		R"("endpoint":{"address":"127.0.0.1:7","service":"s"})";
	const BalancerCase cases[] = {
		{"", 0, "least_time"},
		{",\"balancer\":\"least_time\"", 0, "least_time"},
		{",\"balancer\":\"even_load\"", 0, "even_load"},
		{",\"balancer\":\"auto\"", 0, "auto"},
		{",\"balancer\":\"two_choices\"", 0, "two_choices"},
		{",\"balancer\":\"even\"", QL_E_NOT_FOUND, nullptr},
	};

	for (const BalancerCase &test : cases) {
		SCOPED_TRACE(test.more_json);
		std::string text = "{" + node + test.more_json + "}";
		ql_settings_t settings;
		json_t *json;

		ASSERT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(),
					   nullptr));
		EXPECT_EQ(test.expected,
			  ql_settings_parse(&settings, json, nullptr));
		if (test.name) {
			EXPECT_STREQ(test.name, settings.balancer);
		}
		json_decref(json);
	}
}

struct VotersCase {
	const char *more_json;
	uint64_t voters;
};

/* A quorum survives the losses that the settings name. */
TEST(Settings, VotersSurviveTheLosses)
{
	const VotersCase cases[] = {
		{"", 3},
		{",\"replica_losses\":0", 3},
		{",\"replica_losses\":1", 3},
		{",\"replica_losses\":2", 5},
		{",\"replica_losses\":4", 9},
		{",\"voters\":7,\"replica_losses\":2", 7},
		{",\"voters\":1", 1},
	};

	for (const VotersCase &test : cases) {
		SCOPED_TRACE(test.more_json);
		std::string text = "{" + BASE + ",\"registrar\":true" +
				   test.more_json + ",\"grace_ms\":\"2.5s\"}";
		ql_settings_t settings;
		json_t *json;

		ASSERT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(),
					   nullptr));
		ASSERT_EQ(0, ql_settings_parse(&settings, json, nullptr));
		EXPECT_EQ(test.voters, settings.voters);
		EXPECT_EQ(2500u, settings.grace_ms);
		json_decref(json);
	}
}

} // namespace
