#include "node/http_response.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

class HttpResponse : public testing::Test
{
      protected:
	void SetUp() override
	{
		ulfius_init_response(&response);
	}

	void TearDown() override
	{
		ulfius_clean_response(&response);
	}

	std::string body() const
	{
		return std::string(static_cast<const char *>(
					   response.binary_body),
				   response.binary_body_length);
	}

	struct _u_response response;
};

TEST_F(HttpResponse, HasStatusAndText)
{
	ql_response_set_text(&response, 412, "text/plain", "another version");
	EXPECT_EQ(412, response.status);
	EXPECT_EQ("another version", body());
}

/* Guards against a refusal whose text can't be made and that is sent as 200. */
TEST_F(HttpResponse, IsFailureWithoutText)
{
	ql_response_set_text(&response, 400, "text/plain", nullptr);
	EXPECT_EQ(500, response.status);
}

TEST_F(HttpResponse, IsFailureWithoutJson)
{
	ql_response_set_json(&response, 400,
			     json_pack("{s:s}", "error", "\xf5"));
	EXPECT_EQ(500, response.status);
}

TEST_F(HttpResponse, HasStatusAndJson)
{
	ql_response_set_json(&response, 400,
			     json_pack("{s:s}", "error", "\u00f5"));
	EXPECT_EQ(400, response.status);
	EXPECT_EQ("{\"error\":\"\u00f5\"}", body());
}

/* Guards against a failure without a body that is passed on as a success. */
TEST_F(HttpResponse, KeepsStatusOfEndpointWithoutBody)
{
	const int statuses[] = {200, 204, 404, 500, 503};

	for (int status : statuses) {
		ql_http_response_t upstream;

		SCOPED_TRACE(status);
		ql_http_response_init(&upstream);
		upstream.status = status;
		ql_response_forward(&response, &upstream);
		ql_http_response_finish(&upstream);
		EXPECT_EQ(status, response.status);
		EXPECT_EQ(0u, response.binary_body_length);
	}
}

} // namespace
