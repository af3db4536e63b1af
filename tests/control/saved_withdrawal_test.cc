#include "quetzalloft/registrar.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>

namespace
{

constexpr uint64_t NOW_MS = 1000;
constexpr const char *GATE = "127.0.0.1:9";

class SavedWithdrawal : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_config_state_init(&config);
		start(true);
	}

	void TearDown() override
	{
		ql_registrar_finish(&registrar);
		ql_config_state_finish(&config);
	}

	void start(bool saves)
	{
		ql_registrar_opts_t opts = {};

		strcpy(opts.cluster, "c");
		strcpy(opts.failure_domain, "d");
		opts.incarnation = 1;
		opts.lease_ms = 3000;
		opts.saves_withdrawals = saves;
		ql_registrar_init(&registrar, &opts, &config);
	}

	/* Renews with the withdrawal of a run; returns whether it is saved. */
	bool renew(const char *instance, const char *gate = GATE)
	{
		ql_rpc_withdrawal withdrawal = {};
		ql_rpc_lease_args args = {};
		ql_rpc_lease_res res = {};
		bool saved;

		withdrawal.service = (char *)"a";
		withdrawal.gate = (char *)gate;
		withdrawal.instance = (char *)instance;
		withdrawal.started_ms = *instance ? 100 : 0;
		withdrawal.sequence = *instance ? 7 : 0;
		args.greeting.cluster = (char *)"c";
		args.greeting.node = (char *)"n";
		args.greeting.failure_domain = (char *)"d";
		args.greeting.incarnation = 1;
		args.greeting.protocol = QL_RPC_PROTOCOL_VERSION;
		args.sequence = ++sequence;
		args.withdrawals.withdrawals_val = &withdrawal;
		args.withdrawals.withdrawals_len = 1;
		ql_registrar_handle_lease(&registrar, &args, &res, NOW_MS);
		EXPECT_EQ(0, res.status);
		saved = res.withdrawals_saved;
		later = res.withdrawals.withdrawals_len
				? res.withdrawals.withdrawals_val[0].instance
				: "";
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, (char *)&res);
		return saved;
	}

	/* Returns the withdrawals that have changed since the last call. */
	GPtrArray *save()
	{
		GPtrArray *changed = ql_registrar_encode_withdrawals(
			&registrar, registrar.withdrawals_saved_number);

		ql_registrar_set_withdrawals_saved(
			&registrar, registrar.withdrawals_change_number);
		return changed;
	}

	void restart(GPtrArray *saved)
	{
		ql_registrar_finish(&registrar);
		start(true);
		for (guint i = 0; i < saved->len; i++)
			EXPECT_EQ(0,
				  ql_registrar_restore_withdrawal(
					  &registrar, (GBytes *)saved->pdata[i],
					  NOW_MS));
		g_ptr_array_unref(saved);
	}

	ql_config_state_t config;
	ql_registrar_t registrar;
	uint64_t sequence = 0;
	std::string later;
};

TEST_F(SavedWithdrawal, IsToldOnceTheFileHasIt)
{
	EXPECT_TRUE(renew(""));
	EXPECT_FALSE(renew("i-1"));
	EXPECT_TRUE(ql_registrar_has_unsaved_withdrawals(&registrar));
	g_ptr_array_unref(save());
	EXPECT_FALSE(ql_registrar_has_unsaved_withdrawals(&registrar));
	EXPECT_TRUE(renew("i-1"));
}

/* Guards against a leave that is forgotten when all processes are killed. */
TEST_F(SavedWithdrawal, IsKnownAfterARestart)
{
	EXPECT_FALSE(renew("i-1"));
	restart(save());
	EXPECT_FALSE(renew(""));
	EXPECT_EQ("i-1", later);
	/* The file may have lost what was not synced before the restart. */
	EXPECT_TRUE(ql_registrar_has_unsaved_withdrawals(&registrar));
	g_ptr_array_unref(save());
	EXPECT_TRUE(renew(""));
}

TEST_F(SavedWithdrawal, OnlyChangesAreWritten)
{
	GPtrArray *saved;

	renew("i-1");
	renew("i-2", "127.0.0.1:10");
	saved = save();
	EXPECT_EQ(2u, saved->len);
	g_ptr_array_unref(saved);
	renew("i-1");
	renew("i-3", "127.0.0.1:10");
	saved = save();
	EXPECT_EQ(1u, saved->len);
	g_ptr_array_unref(saved);
	saved = ql_registrar_encode_withdrawals(&registrar, 0);
	EXPECT_EQ(2u, saved->len);
	g_ptr_array_unref(saved);
}

/* A change during the write is not in the file yet. */
TEST_F(SavedWithdrawal, IsUnsavedIfItChangedDuringTheWrite)
{
	uint64_t number;

	renew("i-1");
	number = registrar.withdrawals_change_number;
	renew("i-2");
	ql_registrar_set_withdrawals_saved(&registrar, number);
	EXPECT_FALSE(renew("i-2"));
}

TEST_F(SavedWithdrawal, IsNotWaitedForWithoutAFile)
{
	ql_registrar_finish(&registrar);
	start(false);
	EXPECT_TRUE(renew("i-1"));
	EXPECT_FALSE(ql_registrar_has_unsaved_withdrawals(&registrar));
}

TEST_F(SavedWithdrawal, MalformedOnesAreNotRestored)
{
	renew("i-1");

	GPtrArray *saved = save();
	gsize length;
	const char *data =
		(const char *)g_bytes_get_data((GBytes *)saved->pdata[0],
					       &length);
	std::string whole(data, length);

	g_ptr_array_unref(saved);
	for (size_t i = 0; i < whole.size(); i++) {
		GBytes *cut = g_bytes_new(whole.data(), i);

		SCOPED_TRACE(i);
		EXPECT_EQ(QL_E_CORRUPT,
			  ql_registrar_restore_withdrawal(&registrar, cut,
							  NOW_MS));
		g_bytes_unref(cut);
	}
	whole[4] = ' ';
	GBytes *spaced = g_bytes_new(whole.data(), whole.size());

	EXPECT_EQ(QL_E_CORRUPT,
		  ql_registrar_restore_withdrawal(&registrar, spaced, NOW_MS));
	g_bytes_unref(spaced);
}

} // namespace
