"""Which fencing tokens a receiver accepts."""

from lichencleat.leases.fencing import Fence


def test_older_token_is_rejected_after_a_newer_one_and_after_a_restart():
    fence = Fence()
    assert fence.accept("j", 5) and fence.accept("j", 5) and fence.accept("j", 9)
    assert not fence.accept("j", 5) and fence.accept("k", 1) and fence.rejected == 1
    assert not Fence(fence.tokens).accept("j", 8)
