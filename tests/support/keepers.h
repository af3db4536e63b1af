#ifndef QL_TESTS_SUPPORT_KEEPERS_H
#define QL_TESTS_SUPPORT_KEEPERS_H

/*
 * Three keepers, each in a process of its own on loopback, and a claim service
 * that uses them.
 */

#include "node/claim_codec.h"
#include "node/claim_service.h"
#include "quetzalloft/json.h"
#include "support/own_address.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <string>

namespace keepers_test
{

constexpr int kKeepers = 3;
constexpr unsigned int kFirstPort = 27990;

class Keepers
{
      public:
	/* Forks the keepers; must run before the process starts a thread. */
	Keepers()
	{
		for (unsigned int i = 0; i < kKeepers; i++)
			addresses_[i] = own_address(kFirstPort + i);
		MakeDocument();
		for (int i = 0; i < kKeepers; i++)
			Start(i);
		ql_hlc_init(&hlc_);
		Init(&service);
	}

	~Keepers()
	{
		ql_claim_service_finish(&service);
		for (int i = 0; i < kKeepers; i++)
			Kill(i);
		ql_document_unref(doc);
	}

	/* Kills a keeper; ignored if it was killed already. */
	void Kill(int keeper)
	{
		if (!pids_[keeper])
			return;
		kill(pids_[keeper], SIGKILL);
		waitpid(pids_[keeper], nullptr, 0);
		pids_[keeper] = 0;
	}

	/* Suspends a keeper: its connections stay open but it does not reply.
	 */
	void Suspend(int keeper)
	{
		kill(pids_[keeper], SIGSTOP);
	}

	/* Claims or seals a key for a request with this body. */
	ql_claim_session_t *Begin(ql_claim_kind_t kind, const std::string &key,
				  const std::string &body,
				  ql_claim_verdict_t *verdict)
	{
		ql_claim_fingerprint_input_t id = {"POST", "/orders", "client",
						   body.data(), body.size()};
		ql_claim_params_t call = {};

		call.doc = doc;
		call.key = key.c_str();
		ql_claim_fingerprint(call.fingerprint, &id);
		call.kind = kind;
		call.deadline_us = ql_clock_now_us() + 2 * QL_US_PER_S;
		call.lease_ms = 60000;
		return ql_claim_service_begin(&service, &call, verdict);
	}

	ql_claim_service_t service;
	ql_document_t *doc = nullptr;

      private:
	void MakeDocument()
	{
		std::string text = "{\"site\":\"s\",\"attempts\":1,"
				   "\"classes\":{},\"services\":{},"
				   "\"routes\":{},\"keepers\":{\"members\":{";
		json_t *json = nullptr;

		for (int i = 0; i < kKeepers; i++)
			text += (i ? ",\"k" : "\"k") + std::to_string(i) +
				"\":{\"address\":\"" + addresses_[i] +
				"\",\"failure_domain\":\"d" +
				std::to_string(i) + "\"}";
		text += "},\"slots\":[[\"k0\",\"k1\",\"k2\"]]}}";
		g_assert(!ql_json_parse(&json, text.data(), text.size(),
					nullptr));
		g_assert(!ql_document_compile(&doc, json, 1, nullptr));
		json_decref(json);
	}

	static ql_document_t *Document(void *data)
	{
		return ql_document_ref(((Keepers *)data)->doc);
	}

	void Init(ql_claim_service_t *out)
	{
		ql_claim_service_opts_t opts = {};

		g_strlcpy(opts.cluster, "test", sizeof(opts.cluster));
		g_strlcpy(opts.node, "n", sizeof(opts.node));
		opts.hlc = &hlc_;
		opts.document = Document;
		opts.data = this;
		opts.keys_max = 1000000;
		opts.answers_max_bytes = 64 << 20;
		/*
		 * A keeper abstains for the retention time after its start;
		 * the offset makes it vote at once.
		 */
		opts.clock_offset_us = 24 * 3600 * QL_US_PER_S;
		ql_claim_service_init(out, &opts);
	}

	void Start(int keeper)
	{
		int ready[2];
		char byte;

		g_assert(!pipe(ready));
		pids_[keeper] = fork();
		if (!pids_[keeper])
			Serve(keeper, ready[1]);
		close(ready[1]);
		g_assert(read(ready[0], &byte, 1) == 1);
		close(ready[0]);
	}

	void Serve(int keeper, int ready)
	{
		static ql_claim_service_t child;
		static ql_rpc_server_t rpc;

		/* Kills the keeper if the test process dies first. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		ql_hlc_init(&hlc_);
		Init(&child);
		ql_claim_service_program(&rpc.programs[0], &child);
		rpc.n_programs = 1;
		if (ql_rpc_server_start(&rpc, addresses_[keeper].c_str(),
					nullptr) ||
		    write(ready, "r", 1) != 1)
			_exit(1);
		for (;;)
			pause();
	}

	std::string addresses_[kKeepers];
	pid_t pids_[kKeepers] = {};
	ql_hlc_t hlc_;
};

} // namespace keepers_test

#endif
