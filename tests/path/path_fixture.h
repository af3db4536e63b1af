#ifndef QL_TESTS_PATH_FIXTURE_H
#define QL_TESTS_PATH_FIXTURE_H

#include "http/loop_fixture.h"
#include "path/front.h"

#include <memory>
#include <string>
#include <vector>

/* A dialect with the members that the call path uses. */
inline const ql_dialect_t *test_dialect()
{
	static const ql_dialect_t dialect = {
		"test",
		"Id",
		"Time-Ms",
		"Caller",
		"Expect",
		"Not-Run",
		"Seal",
		"Base",
		"Key",
		"Team",
		[](char *out, size_t size, const char *id) {
			const char *dot = strrchr(id, '.');

			if (!dot)
				return false;
			g_strlcpy(out, id,
				  std::min(size, (size_t)(dot - id) + 1));
			return true;
		},
		nullptr,
		nullptr,
		nullptr};

	return &dialect;
}

/*
 * The call path of a node with one endpoint of service "a". The test accepts
 * the connections to the endpoint and sends its bytes.
 */
class PathFixture : public testing::Test
{
      protected:
	LoopFixture event_loop;
	int endpoint_listener;
	uint16_t endpoint_port;
	ql_local_gate_t gate;
	ql_hops_t hops;
	ql_front_t front;
	ql_listener_t listener;
	ql_counters_t counters = {};
	int n_state_changes = 0;
	std::vector<std::string> wanted_services;
	/* Set before SetUp(). */
	uint64_t key_lease_ms = 0;

	void SetUp() override
	{
		sockaddr_in bound = loopback(0);
		socklen_t length = sizeof(bound);
		ql_local_gate_opts_t gate_opts = {};
		ql_front_opts_t front_opts = {};
		ql_listener_opts_t opts = {};

		endpoint_listener =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		ASSERT_EQ(0,
			  bind(endpoint_listener, (sockaddr *)&bound, length));
		ASSERT_EQ(0, listen(endpoint_listener, 16));
		getsockname(endpoint_listener, (sockaddr *)&bound, &length);
		endpoint_port = ntohs(bound.sin_port);
		gate_opts.dialect = test_dialect();
		gate_opts.address = bound;
		strcpy(gate_opts.service, "a");
		gate_opts.state_changed = [](void *data) {
			static_cast<PathFixture *>(data)->n_state_changes++;
		};
		gate_opts.data = this;
		gate_opts.counters = &counters;
		ql_local_gate_init(&gate, &event_loop.loop, &gate_opts);
		ql_hops_init(&hops, &event_loop.loop,
			     test_dialect()->request_id);
		front_opts.dialect = test_dialect();
		strcpy(front_opts.caller, "a");
		strcpy(front_opts.own_gate, "127.0.0.1:1");
		strcpy(front_opts.failure_domain, "d");
		front_opts.key_lease_ms = key_lease_ms;
		front_opts.local = &gate;
		front_opts.hops = &hops;
		front_opts.counters = &counters;
		front_opts.service_wanted = [](void *data,
					       const char *service) {
			static_cast<PathFixture *>(data)
				->wanted_services.push_back(service);
		};
		front_opts.data = this;
		ql_front_init(&front, &event_loop.loop, &front_opts);
		opts.address = loopback(0);
		opts.head_limit_bytes = 16384;
		opts.body_limit_bytes = 1 << 20;
		opts.buffer_limit_bytes = 1 << 24;
		opts.head_timeout_ms = 60000;
		opts.idle_timeout_ms = 60000;
		opts.connections = 100;
		opts.handle = ql_front_handle;
		opts.data = &front;
		ASSERT_EQ(0, ql_listener_start(&listener, &event_loop.loop,
					       &opts, nullptr));
	}

	void TearDown() override
	{
		ql_listener_stop(&listener);
		ql_hops_finish(&hops);
		ql_local_gate_finish(&gate);
		event_loop.run_iterations(20);
		ql_front_finish(&front);
		ql_listener_finish(&listener);
		close(endpoint_listener);
	}

	uint64_t counter_value(ql_counter_t counter)
	{
		return ql_counter_value(&counters, counter);
	}

	/* Sets a document with these routes and makes the front ready. */
	void set_document(const char *routes, const char *teams = "{}")
	{
		std::string text =
			std::string("{\"site\":\"s\",\"attempts\":9,"
				    "\"classes\":{\"low\":{\"shed_order\":1},"
				    "\"high\":{\"shed_order\":5}},"
				    "\"services\":{\"a\":{},\"b\":{}},"
				    "\"routes\":") +
			routes + ",\"teams\":" + teams + "}";
		json_t *json = json_loads(text.c_str(), 0, nullptr);
		ql_document_t *doc;

		ASSERT_EQ(0, ql_document_compile(&doc, json, 1, nullptr));
		ql_front_set_document(&front, doc);
		ql_document_unref(doc);
		json_decref(json);
		front.ready = true;
	}

	ql_instance_report_t make_report(const char *instance,
					 uint64_t incarnation,
					 uint64_t sequence,
					 bool draining = false)
	{
		ql_instance_report_t out = {};

		strcpy(out.instance, instance);
		strcpy(out.service, "a");
		g_snprintf(out.address, sizeof(out.address), "127.0.0.1:%u",
			   endpoint_port);
		out.incarnation = incarnation;
		out.sequence = sequence;
		out.slots = 2;
		out.draining = draining;
		return out;
	}

	/* Applies a first report and adds the own gate to service "a". */
	void register_endpoint()
	{
		ql_instance_report_t first = make_report("i-1", 1, 1);
		ql_endpoint_info_t info = {};

		EXPECT_EQ(0, ql_local_gate_apply_report(&gate, &first));
		strcpy(info.gate, "127.0.0.1:1");
		strcpy(info.failure_domain, "d");
		info.slots = 2;
		ql_front_add_endpoint(&front, "a", &info);
	}

	/*
	 * Adds an endpoint of service "b" behind the gate of another node. The
	 * test plays that gate, at the address of the endpoint.
	 */
	void add_far_endpoint()
	{
		ql_endpoint_info_t info = {};

		g_snprintf(info.gate, sizeof(info.gate), "127.0.0.1:%u",
			   endpoint_port);
		strcpy(info.failure_domain, "d");
		info.slots = 2;
		ql_front_add_endpoint(&front, "b", &info);
	}

	/* Accepts a connection of the node to the endpoint. */
	std::unique_ptr<RawSocket> accept_connection()
	{
		int fd = -1;

		EXPECT_TRUE(event_loop.run_until([&] {
			fd = accept(endpoint_listener, nullptr, nullptr);
			return fd >= 0;
		}));
		return std::make_unique<RawSocket>(fd);
	}

	/* Connects to the client listener of the node. */
	RawSocket connect_client()
	{
		return RawSocket::connect_to(port_of(&listener.socket));
	}
};

#endif
