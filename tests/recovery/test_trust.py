"""Trust after a restart: the table and its proofs."""

from lichencleat.recovery.trust import REQUIRED_PROOF, Item, Proof, Verified, can_serve_keyed, is_trusted


def test_trust_table_is_complete_and_requires_its_proofs():
    assert set(REQUIRED_PROOF) == set(Item)
    nothing, disk, all_ = (
        Verified(False, False, False),
        Verified(True, False, True),
        Verified(True, True, True),
    )
    for item, proof in REQUIRED_PROOF.items():
        assert not is_trusted(item, nothing)
        assert is_trusted(item, disk) == (proof is Proof.OWN_DISK)
        assert is_trusted(item, all_) == (proof is not Proof.NEVER)
    assert can_serve_keyed(disk) and not can_serve_keyed(Verified(True, True, False))
