//! Unit tests of `word`.

use super::*;

#[test]
fn words_come_back_as_written_and_spoilt_ones_are_nothing() {
    let mut chance = fastrand::Rng::with_seed(7);
    for _ in 0..2000 {
        let content = Content { version: chance.u64(..), digest: chance.u128(..) };
        let span = Lease { content, from: chance.u64(..), until: chance.u64(..) };
        let says = [Says::For, Says::Asks, Says::Holds][chance.usize(..3)];
        let word = Word { number: chance.u32(..), life: chance.u32(..), sent: chance.u64(..), says, span };
        let bytes = word.write();
        assert!(bytes.len() <= MOST, "{}", bytes.len());
        assert_eq!(Word::read(&bytes), Some(word));
        // Cut short, spoilt in a place or longer: read as nothing or as some word, never a panic.
        assert_eq!(Word::read(&bytes[..chance.usize(..bytes.len())]), None);
        let mut spoilt = bytes.clone();
        let at = chance.usize(..spoilt.len());
        spoilt[at] = chance.u8(..);
        assert!(spoilt == bytes || Word::read(&spoilt).is_none());
        let noise: Vec<u8> = (0..chance.usize(..300)).map(|_| chance.u8(..)).collect();
        assert_eq!(Word::read(&noise), None);
    }
    let content = Content { version: 1, digest: 1 };
    let span = Lease { content, from: 1, until: 2 };
    let text =
        String::from_utf8(Word { number: 1, life: 1, sent: 1, says: Says::For, span }.write()).unwrap();
    assert_eq!(
        Word::read(text.replace("\"agreement\":1", "\"agreement\":0").as_bytes()),
        None,
        "an older form"
    );
    assert_eq!(Word::read(text.replace('}', ",\"x\":1}").as_bytes()), None, "more than the form has");
}

#[test]
fn notices_fit_and_come_back() {
    let out = vec![u64::MAX; crate::lists::TOLD_MOST];
    let notice = Notice { number: u32::MAX, index: u64::MAX, out };
    let bytes = notice.write();
    assert!(bytes.len() <= MOST, "{}", bytes.len());
    assert_eq!(Notice::read(&bytes), Some(notice));
    let mut spoilt = bytes.clone();
    spoilt[30] ^= 1;
    assert_eq!((Notice::read(&spoilt), Word::read(&bytes)), (None, None));
}
