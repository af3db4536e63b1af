#include "path_fixture.h"

#include <strings.h>

namespace
{

const char *ROUTES =
	"{\"near\":{\"path\":\"/near/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000},"
	"\"far\":{\"path\":\"/far/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000}}";
const char *TEAMS = "{\"red\":{\"keys\":[\"k1\"]}}";
const char *GATE_LINES = "Quetzalloft-Outcome: answered\r\n"
			 "Quetzalloft-Reason: none\r\n";

/* Ways to name a header in Connection; %s is the name. */
const char *const FORMS[] = {
	"Connection: %s\r\n",
	"connection: keep-alive, %s\r\n",
	"CONNECTION: %s,keep-alive\r\n",
	"Connection: %s, %s\r\n",
	"Connection: keep-alive\r\nConnection: \t%s\t\r\n",
	"Connection: %s\r\nConnection: %s\r\n",
	"Connection: close, %s\r\n",
};

std::string fill(const char *form, const std::string &name)
{
	std::string out = form;
	size_t at;

	while ((at = out.find("%s")) != std::string::npos)
		out.replace(at, 2, name);
	return out;
}

std::string to_upper(std::string text)
{
	for (char &c : text)
		c = g_ascii_toupper(c);
	return text;
}

std::string to_lower(std::string text)
{
	for (char &c : text)
		c = g_ascii_tolower(c);
	return text;
}

/* A header that has to arrive, with its value, or "" for any value. */
struct KeptHeader {
	const char *name;
	const char *value;
};

class ConnectionHeader : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES, TEAMS);
		register_endpoint();
		add_far_endpoint();
	}

	/* Sends a request; returns what the endpoint or the far gate gets. */
	std::string forward(const char *path, const std::string &lines)
	{
		RawSocket client = connect_client();
		std::string id = "x" + std::to_string(++n_requests);

		client.send(std::string("GET ") + path +
			    " HTTP/1.1\r\nHost: h\r\nId: " + id +
			    "\r\nTime-Ms: 5000\r\nKey: k1\r\n"
			    "Own: mine\r\nOther: kept\r\n" +
			    lines + "\r\n");
		auto server = accept_connection();
		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		server->send("HTTP/1.1 200 OK\r\nId: " + id +
			     "\r\nSeal: s\r\n" + GATE_LINES +
			     "Connection: close\r\n"
			     "Content-Length: 2\r\n\r\nok");
		EXPECT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\nok"); }));
		return server->received;
	}

	/* Answers a request; returns what the client gets. */
	std::string answer(const char *path, const std::string &lines)
	{
		RawSocket client = connect_client();
		std::string id = "x" + std::to_string(++n_requests);

		client.send(std::string("GET ") + path +
			    " HTTP/1.1\r\nHost: h\r\nId: " + id +
			    "\r\nKey: k1\r\n\r\n");
		auto server = accept_connection();
		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		server->send("HTTP/1.1 200 OK\r\nId: " + id +
			     "\r\nSeal: s\r\nOwn: mine\r\nOther: kept\r\n" +
			     GATE_LINES + lines +
			     "Content-Length: 2\r\n\r\nok");
		EXPECT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\nok"); }));
		/* The node must not use the connection again. */
		server.reset();
		event_loop.run_iterations(5);
		return client.received;
	}

	/* Returns the value of a header, or "(none)". */
	static std::string value_of(const std::string &head, const char *name)
	{
		std::string line = std::string("\r\n") + name + ": ";
		size_t at = head.find(line);

		if (at == std::string::npos)
			return "(none)";
		at += line.size();
		return head.substr(at, head.find("\r\n", at) - at);
	}

	static void expect_kept(const std::string &head,
				const KeptHeader &header)
	{
		std::string value = value_of(head, header.name);

		if (header.value[0])
			EXPECT_EQ(header.value, value);
		else
			EXPECT_NE("(none)", value);
	}

	int n_requests = 0;
};

/*
 * Guards against a client that takes off the headers by which an endpoint knows
 * whose request it serves, for how long, and that it is meant for it.
 */
TEST_F(ConnectionHeader, DoesNotTakeOffWhatTheNodeSets)
{
	const struct {
		const char *path;
		std::vector<KeptHeader> headers;
	} targets[] = {
		{"/near/",
		 {{"Caller", "a"},
		  {"Team", "red"},
		  {"Id", ""},
		  {"Time-Ms", ""},
		  {"Expect", "i-1"},
		  {"Host", "h"}}},
		{"/far/",
		 {{"Caller", "a"},
		  {"Team", "red"},
		  {"Id", ""},
		  {"Host", "h"},
		  {"Quetzalloft-Timeout-Ms", ""},
		  {"Quetzalloft-Service", "b"},
		  {"Quetzalloft-Class", "low"},
		  {"Quetzalloft-Attempt-Id", ""}}},
	};

	for (const auto &target : targets) {
		for (const KeptHeader &header : target.headers) {
			for (const char *form : FORMS) {
				for (const std::string &name :
				     {std::string(header.name),
				      to_upper(header.name),
				      to_lower(header.name)}) {
					std::string lines = fill(form, name);

					SCOPED_TRACE(target.path +
						     (" " + lines));
					expect_kept(forward(target.path, lines),
						    header);
				}
			}
		}
	}
}

TEST_F(ConnectionHeader, TakesOffWhatTheClientSent)
{
	for (const char *path : {"/near/", "/far/"}) {
		for (const char *form : FORMS) {
			std::string head = forward(path, fill(form, "own"));

			SCOPED_TRACE(path + (std::string(" ") + form));
			EXPECT_EQ("(none)", value_of(head, "Own"));
			EXPECT_EQ("kept", value_of(head, "Other"));
			EXPECT_EQ("(none)", value_of(head, "Connection"));
		}
	}
}

/* Guards against a success that reaches its client without its seal. */
TEST_F(ConnectionHeader, DoesNotTakeOffTheSealOfAnAnswer)
{
	for (const char *path : {"/near/", "/far/"}) {
		for (const char *form : FORMS) {
			for (const char *name : {"Seal", "SEAL", "id"}) {
				std::string lines = fill(form, name);
				std::string head = answer(path, lines);

				SCOPED_TRACE(path + (" " + lines));
				EXPECT_EQ("s", value_of(head, "Seal"));
				EXPECT_NE("(none)", value_of(head, "Id"));
			}
		}
	}
}

TEST_F(ConnectionHeader, TakesOffWhatTheEndpointSent)
{
	for (const char *path : {"/near/", "/far/"}) {
		for (const char *form : FORMS) {
			std::string head = answer(path, fill(form, "Own"));

			SCOPED_TRACE(path + (std::string(" ") + form));
			EXPECT_EQ("(none)", value_of(head, "Own"));
			EXPECT_EQ("kept", value_of(head, "Other"));
		}
	}
}

} // namespace
