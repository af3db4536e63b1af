#include "node/http_client.h"
#include "node/metrics_http.h"
#include "support/own_address.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>

namespace
{

constexpr unsigned int kPort = 27984;

void set_address(ql_settings_t *settings, const std::string &address)
{
	std::string host = address.substr(0, address.find(':'));

	strcpy(settings->address, host.c_str());
	strcpy(settings->listen.metrics, address.c_str());
}

class Metrics : public testing::Test
{
      protected:
	void SetUp() override
	{
		set_address(&settings, address);
		ASSERT_EQ(0, ql_metrics_http_start(&metrics, &settings,
						   &counters, nullptr));
		ql_http_client_init(&client);
	}

	void TearDown() override
	{
		ql_http_client_finish(&client);
		ql_metrics_http_stop(&metrics);
	}

	std::string Get(const char *path, unsigned int *status)
	{
		ql_http_request_t request = {};
		ql_http_response_t answer;
		std::string body;
		bool sent;

		request.address = address.c_str();
		request.method = "GET";
		request.target = path;
		request.timeout_ms = 10000;
		request.body_limit_bytes = 1 << 20;
		ql_http_response_init(&answer);
		EXPECT_EQ(0, ql_http_client_exchange(&client, &request, &answer,
						     &sent, nullptr));
		*status = answer.status;
		body.assign((char *)answer.body->data, answer.body->len);
		ql_http_response_finish(&answer);
		return body;
	}

	ql_counters_t counters = {};
	ql_metrics_http_t metrics = {};
	ql_settings_t settings = {};
	ql_http_client_t client;
	std::string address = own_address(kPort);
};

TEST_F(Metrics, ServesCountersGaugesAndLatencies)
{
	unsigned int status = 0;
	std::string text;

	ql_counter_increment(&counters, QL_COUNT_EARLY_REFUSALS);
	ql_gauge_set(&counters, QL_GAUGE_CONFIG_VERSION, 7);
	ql_latency_record(&counters, QL_LATENCY_GATE_WAIT, 1000);
	text = Get("/metrics", &status);
	EXPECT_EQ(200u, status);
	for (const char *line :
	     {"# TYPE quetzalloft_early_refusals_total counter\n",
	      "\nquetzalloft_early_refusals_total 1\n",
	      "# TYPE quetzalloft_config_version gauge\n",
	      "\nquetzalloft_config_version 7\n",
	      "\nquetzalloft_gate_wait_seconds_count 1\n",
	      "\nquetzalloft_client_not_run_total 0\n"})
		EXPECT_NE(std::string::npos, text.find(line)) << line;
}

TEST_F(Metrics, AnswersNotFoundOnOtherPaths)
{
	unsigned int status = 0;

	Get("/", &status);
	EXPECT_EQ(404u, status);
}

TEST(MetricsAddress, EmptyIsAcceptedAndInvalidIsRefused)
{
	ql_metrics_http_t metrics = {};
	ql_settings_t settings = {};
	ql_counters_t counters = {};
	GError *error = nullptr;

	EXPECT_EQ(0, ql_metrics_http_start(&metrics, &settings, &counters,
					   nullptr));
	ql_metrics_http_stop(&metrics);
	set_address(&settings, "127.0.0.1");
	EXPECT_NE(0, ql_metrics_http_start(&metrics, &settings, &counters,
					   &error));
	ASSERT_NE(nullptr, error);
	g_error_free(error);
}

} // namespace
